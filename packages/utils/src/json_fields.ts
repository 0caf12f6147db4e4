/**
 * Reads single fields of untrusted JSON. A field that is missing or has another type is read as undefined; other fields
 * are ignored. To validate data as a whole and report every problem, use `@cuminsill/validation`.
 */

/** A JSON object with unknown fields. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Returns the value if it is an object; undefined otherwise, also for arrays and null. */
export function asObject(value: unknown): JsonObject | undefined {
  const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
  return isObject ? (value as JsonObject) : undefined;
}

/** Reads a non-empty string. */
export function stringField(object: JsonObject, name: string): string | undefined {
  const value = object[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/** Reads a finite number. */
export function numberField(object: JsonObject, name: string): number | undefined {
  const value = object[name];
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined;
}

/** Reads a non-negative integer. */
export function countField(object: JsonObject, name: string): number | undefined {
  const value = numberField(object, name);
  return value !== undefined && Number.isInteger(value) && value >= 0 ? value : undefined;
}

/** Reads a list and decodes each element; undefined when any element cannot be decoded. */
export function listField<Element>(
  object: JsonObject,
  name: string,
  decode: (element: unknown) => Element | undefined,
): readonly Element[] | undefined {
  const value = object[name];
  if (!Array.isArray(value)) return undefined;
  const decoded = value.map(decode);
  return decoded.every(element => element !== undefined) ? (decoded as Element[]) : undefined;
}

/** Parses JSON; undefined when the text is not valid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
