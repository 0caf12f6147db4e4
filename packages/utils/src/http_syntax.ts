/**
 * Grammar of HTTP heads (RFC 9110, section 5; RFC 9112, sections 3 and 4). Node's parser accepts more than its writer: what
 * comes from outside and is passed on must be checked, because writing it throws.
 */

const tokenPattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Tab, space, visible characters and bytes beyond ASCII. */
const textPattern = /^[\t\x20-\x7e\x80-\xff]*$/;
const plainTextPattern = /^[\t\x20-\x7e]*$/;
/** A request target has no white space and no control characters. */
const requestTargetPattern = /^[\x21-\x7e\x80-\xff]+$/;
/** Status codes of final responses. */
const minFinalStatus = 200;
const maxFinalStatus = 599;

/** True for the name of a header. */
export function isHeaderName(text: string): boolean {
  return tokenPattern.test(text);
}

/** True for the value of a header, and for a reason phrase. */
export function isHeaderText(text: string): boolean {
  return textPattern.test(text);
}

/** Writes a text as the value of a header: beyond ASCII in UTF-8, each byte as one character, as Node's `http` takes it. */
export function encodeHeaderText(text: string): string {
  return plainTextPattern.test(text) ? text : Buffer.from(text, 'utf8').toString('latin1');
}

/** True for a path with its query, as it stands in a request line. */
export function isRequestTarget(text: string): boolean {
  return requestTargetPattern.test(text);
}

/** True for the status of a final response. */
export function isFinalStatus(status: number): boolean {
  return status >= minFinalStatus && status <= maxFinalStatus;
}

/** True if all headers are well-formed; names and values by turns, as Node's `http` reads them. */
export function areHeadersValid(rawHeaders: readonly string[]): boolean {
  return rawHeaders.every((text, index) =>
    index % 2 === 0 ? isHeaderName(text) : isHeaderText(text),
  );
}
