/**
 * Format of relayed requests between gateways. A gateway that has lost connectivity to the targets sends a caller's request to
 * another one, which handles it like its own but never relays it again. Headers and body are the caller's.
 */
import type {FinalAnswer} from '../requests/final_answer';

/** Set on an answer of the relaying gateway itself: the reason for it. */
export const relayReasonHeader = 'cuminsill-relay-reason';
/** Set on a target's answer whose body had no length: it must not reach the caller with one. */
export const relayFramingHeader = 'cuminsill-relay-framing';
export const closeDelimited = 'close-delimited';

/** These headers concern only the connection between the two gateways. */
export const relayHeaderNames: ReadonlySet<string> = new Set([
  relayReasonHeader,
  relayFramingHeader,
]);

/** Headers that a relaying gateway adds to an answer, as pairs of name and value. */
export function relayAnswerHeaders(answer: FinalAnswer): ReadonlyArray<readonly [string, string]> {
  if (answer.kind === 'own') return [[relayReasonHeader, answer.reason]];
  return answer.answer.isSelfDelimited ? [] : [[relayFramingHeader, closeDelimited]];
}
