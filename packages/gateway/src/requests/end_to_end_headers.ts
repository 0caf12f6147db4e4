/** Selects the end-to-end headers that a proxy forwards, without hop-by-hop headers. */
import {hopByHopHeaders, headersNamedByConnection} from '@cuminsill/utils';

/** Not copied: the length is set from the buffered body. */
const lengthHeader = 'content-length';

const connectionHeader = 'connection';
const noNames: ReadonlySet<string> = new Set();

/**
 * Returns the end-to-end headers, names and values by turns as Node's `http` reads and writes them, without the replaced
 * ones (in lower case).
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  replaced: ReadonlySet<string>,
): string[] {
  const named = namesInConnectionHeaders(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (hopByHopHeaders.has(lower) || lower === lengthHeader) continue;
    if (named.has(lower) || replaced.has(lower)) continue;
    kept.push(name, rawHeaders[index + 1] ?? '');
  }
  return kept;
}

function namesInConnectionHeaders(rawHeaders: readonly string[]): ReadonlySet<string> {
  let names: Set<string> | undefined;
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (name.length !== connectionHeader.length || name.toLowerCase() !== connectionHeader) {
      continue;
    }
    names ??= new Set();
    for (const named of headersNamedByConnection(rawHeaders[index + 1])) names.add(named);
  }
  return names ?? noNames;
}
