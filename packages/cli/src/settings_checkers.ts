/** Validates catalog, intent and settings files by kind. */
import {
  CatalogSchema,
  ControlSettingsSchema,
  decodeOrThrow,
  EntrySettingsSchema,
  IntentSchema,
} from '@cuminsill/validation';
import type {Schema} from 'effect';

/** Validates the data of a file; throws an InvalidDataError that lists every problem. */
export type SettingsChecker = (file: string, data: unknown) => void;

/** Checkers by kind of file, as given with `settings check --kind`. */
export const settingsCheckers: Readonly<Record<string, SettingsChecker>> = {
  catalog: checkerOf(CatalogSchema),
  control: checkerOf(ControlSettingsSchema),
  entry: checkerOf(EntrySettingsSchema),
  intent: checkerOf(IntentSchema),
};

function checkerOf<A, I>(schema: Schema.Schema<A, I>): SettingsChecker {
  return (file, data) => void decodeOrThrow(file, schema, data);
}
