/** Checks of files by kind. A new kind of settings is one more entry. */
import {
  CatalogSchema,
  ControlSettingsSchema,
  decodeOrThrow,
  EntrySettingsSchema,
  IntentSchema,
} from '@cuminsill/validation';
import type {Schema} from 'effect';

/** Checks data from a file; throws InvalidDataError with every problem. */
export type SettingsChecker = (file: string, data: unknown) => void;

/** Checks by kind of file. */
export const settingsCheckers: Readonly<Record<string, SettingsChecker>> = {
  catalog: checkerOf(CatalogSchema),
  control: checkerOf(ControlSettingsSchema),
  entry: checkerOf(EntrySettingsSchema),
  intent: checkerOf(IntentSchema),
};

function checkerOf<A, I>(schema: Schema.Schema<A, I>): SettingsChecker {
  return (file, data) => void decodeOrThrow(file, schema, data);
}
