/** HTTP headers that concern one connection only and so are not passed on (RFC 9110, section 7.6.1). */

/** Names in lower case. */
export const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
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

const noNames: ReadonlySet<string> = new Set();

/** Further names that a `Connection` header lists, in lower case. */
export function namedByConnection(value: string | undefined): ReadonlySet<string> {
  // Usually absent, or an option that names no header.
  if (value === undefined || value === 'keep-alive' || value === 'close') return noNames;
  return new Set(value.split(',').map(name => name.trim().toLowerCase()));
}
