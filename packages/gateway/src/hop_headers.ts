/** Headers that concern one connection only and so are not passed on. */

const hopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers for the next hop as names and values in turn, without the given ones. */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  replaced: ReadonlySet<string>,
): readonly (readonly [string, string])[] {
  const named = namedByConnection(rawHeaders);
  const kept: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lower = name.toLowerCase();
    if (hopHeaders.has(lower) || named.has(lower) || replaced.has(lower)) continue;
    kept.push([name, rawHeaders[index + 1] ?? '']);
  }
  return kept;
}

function namedByConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() !== 'connection') continue;
    for (const name of (rawHeaders[index + 1] ?? '').split(',')) {
      names.add(name.trim().toLowerCase());
    }
  }
  return names;
}

/** Groups headers by name as Node's `http` takes them, with repeated ones as lists. */
export function groupHeaders(
  headers: readonly (readonly [string, string])[],
): Record<string, string | string[]> {
  const grouped: Record<string, string | string[]> = {};
  const nameByLower = new Map<string, string>();
  for (const [name, value] of headers) {
    const lower = name.toLowerCase();
    const known = nameByLower.get(lower);
    if (known === undefined) {
      nameByLower.set(lower, name);
      grouped[name] = value;
    } else {
      const old = grouped[known] ?? [];
      grouped[known] = [...(Array.isArray(old) ? old : [old]), value];
    }
  }
  return grouped;
}
