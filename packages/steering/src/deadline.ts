/** Deadlines of requests: read from the caller, passed on to the next hop as the time that remains. */
import {ResultError, resultCodes} from '@cuminsill/types';

/** Header that carries the time limit of a request in milliseconds. */
export const timeoutHeader = 'x-request-timeout-ms';

/** Longest time limit that a caller may name; the default of a service has the same bound. */
export const maxTimeoutMs = 3_600_000;

/** Time for reading and writing at both ends, on top of the network's round trip. */
const processingMarginMs = 2;

/**
 * Reads the caller's time limit in milliseconds. Returns ResultError with code malformedRequest unless the
 * header is one whole number from 1 to {@link maxTimeoutMs}.
 * @param headerValue Value of {@link timeoutHeader} as Node.js gives it; undefined when there is none.
 * @param defaultTimeoutMs Limit of a request whose caller names none.
 */
export function parseTimeoutMs(
  headerValue: string | readonly string[] | undefined,
  defaultTimeoutMs: number,
): number | ResultError {
  if (headerValue === undefined) return defaultTimeoutMs;
  const valueText = typeof headerValue === 'string' ? headerValue.trim() : headerValue.join(', ');
  const timeoutMs = /^\d{1,7}$/.test(valueText) ? Number(valueText) : 0;
  if (timeoutMs >= 1 && timeoutMs <= maxTimeoutMs) return timeoutMs;
  const detail =
    `${timeoutHeader}: found "${valueText.slice(0, 40)}"; ` +
    `give one whole number of milliseconds from 1 to ${maxTimeoutMs}.`;
  return new ResultError(resultCodes.malformedRequest, detail);
}

/**
 * Time limit for the next hop in whole milliseconds: what remains, less the way there and back, so that the
 * next hop gives up before its caller does. 0 when the request must not be sent on.
 * @param deadlineMs Deadline on the monotonic clock.
 * @param nowMs Monotonic time.
 * @param oneWayLatencyMs Latency of the link to the next hop.
 */
export function remainingForNextHopMs(
  deadlineMs: number,
  nowMs: number,
  oneWayLatencyMs: number,
): number {
  const remainingMs = deadlineMs - nowMs - 2 * oneWayLatencyMs - processingMarginMs;
  return Math.max(0, Math.floor(remainingMs));
}
