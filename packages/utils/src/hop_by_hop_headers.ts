/** Hop-by-hop headers: HTTP headers that apply to one connection and must not be forwarded (RFC 9110, section 7.6.1). */

/** Names of the headers that are always hop-by-hop, in lower case. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
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

/** Names of the further hop-by-hop headers that the value of a `Connection` header lists, in lower case. */
export function headersNamedByConnection(value: string | undefined): ReadonlySet<string> {
  // The common cases: no value, or a connection option that is not the name of a header.
  if (value === undefined || value === 'keep-alive' || value === 'close') return noNames;
  return new Set(value.split(',').map(name => name.trim().toLowerCase()));
}
