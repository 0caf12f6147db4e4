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
const foldedLinePattern = /\n[\t ]/;
const carriageReturn = 0x0d;
const lineFeed = 0x0a;
const blankLine = '\r\n\r\n';
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

/** What Node's `http` has read of the head of a response. */
export interface ResponseHead {
  readonly statusCode?: number | undefined;
  readonly statusMessage?: string | undefined;
  readonly rawHeaders: readonly string[];
}

/** False for a head that the parser accepts although it breaks the grammar. */
export function isResponseHeadValid({
  statusCode = 0,
  statusMessage = '',
  rawHeaders,
}: ResponseHead): boolean {
  return isFinalStatus(statusCode) && isHeaderText(statusMessage) && areHeadersValid(rawHeaders);
}

/**
 * True if a line of the heads at the start of these bytes begins with white space, or if the heads have no end. Some parsers
 * append such a line to the value of the header before it, where it can no longer be seen.
 * @param headCount Number of heads: those of interim responses, and that of the final one.
 */
export function hasFoldedLine(bytes: Buffer, headCount: number): boolean {
  let end = 0;
  for (let index = 0; index < headCount; index += 1) {
    end = bytes.indexOf(blankLine, skipLineEnds(bytes, end));
    if (end === -1) return true;
  }
  return foldedLinePattern.test(bytes.toString('latin1', 0, end));
}

/** A parser passes over empty lines before a head. */
function skipLineEnds(bytes: Buffer, start: number): number {
  let index = start;
  while (bytes[index] === carriageReturn || bytes[index] === lineFeed) index += 1;
  return index;
}
