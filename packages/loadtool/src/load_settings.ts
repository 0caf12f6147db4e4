/** Settings file of `cuminsill-load`. */
import {readFileSync} from 'node:fs';
import {dirname, resolve} from 'node:path';
import {
  CatalogSchema,
  decodeJsonOrThrow,
  numberBetween,
  SocketAddressSchema,
  wholeNumberBetween,
} from '@cuminsill/validation';
import {Schema} from 'effect';
import type {LoadOptions} from './run_load';

/** Settings of a load; the path of the catalog file is relative to the settings file. */
export const LoadSettingsSchema = Schema.Struct({
  catalogFile: Schema.String,
  lookupAddresses: Schema.Array(SocketAddressSchema).pipe(Schema.minItems(1)),
  ratePerS: numberBetween(0.1, 1_000_000),
  durationS: numberBetween(0.1, 86_400),
  maxRequests: wholeNumberBetween(1, 100_000_000),
  maxInFlight: wholeNumberBetween(1, 100_000),
  callersPerRegion: wholeNumberBetween(1, 10_000),
  seed: wholeNumberBetween(0, 0x7fff_ffff),
  rampUpS: Schema.optional(numberBetween(0, 86_400)),
  maxTimeoutMs: Schema.optional(wholeNumberBetween(1, 3_600_000)),
  weights: Schema.optional(Schema.Record({key: Schema.String, value: numberBetween(0, 1_000_000)})),
});

/** Reads the settings and their catalog file. Throws InvalidDataError when one of them is not valid. */
export function readLoadSettings(file: string): LoadOptions {
  const {catalogFile, ...settings} = decodeJsonOrThrow(
    file,
    LoadSettingsSchema,
    readFileSync(file, 'utf8'),
  );
  const text = readFileSync(resolve(dirname(file), catalogFile), 'utf8');
  return {...settings, catalog: decodeJsonOrThrow(catalogFile, CatalogSchema, text)};
}
