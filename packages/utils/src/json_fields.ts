/**
 * Reads fields of data whose writer is not trusted. A field that is missing or of another type is undefined; fields that
 * nobody asks for are ignored. For data that must be checked and explained as a whole, use `@cuminsill/validation`.
 */

/** A JSON object with unknown fields. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** The value as an object; undefined for anything else, also for arrays. */
export function asObject(value: unknown): JsonObject | undefined {
  const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isObject ? (value as JsonObject) : undefined;
}

/** A string field that is not empty. */
export function stringField(from: JsonObject, name: string): string | undefined {
  const value = from[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/** A finite number field. */
export function numberField(from: JsonObject, name: string): number | undefined {
  const value = from[name];
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined;
}

/** A field with a whole number that is not negative. */
export function countField(from: JsonObject, name: string): number | undefined {
  const value = numberField(from, name);
  return value !== undefined && Number.isInteger(value) && value >= 0 ? value : undefined;
}

/** A field with a list; each element is decoded, and one that cannot be decoded spoils the list. */
export function listField<Element>(
  from: JsonObject,
  name: string,
  decode: (element: unknown) => Element | undefined,
): readonly Element[] | undefined {
  const value = from[name];
  if (!Array.isArray(value)) return undefined;
  const decoded = value.map(decode);
  return decoded.every(element => element !== undefined) ? (decoded as Element[]) : undefined;
}

/** Parses JSON text; undefined when it is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
