/** Reads the timeout that a caller sets for a request and computes the timeout for the next hop. */
import {ResultError, resultCodes} from '@cuminsill/types';

/** Header that carries the timeout of a request in milliseconds. */
export const timeoutHeader = 'x-request-timeout-ms';

/** Longest timeout that a caller may set; the default timeout of a service has the same bound. */
export const maxTimeoutMs = 3_600_000;

/** Time for reading and writing at both ends, in addition to the network round trip. */
const processingMarginMs = 2;

/**
 * Parses the caller's timeout. Returns a ResultError with code malformedRequest unless the header is a single whole
 * number from 1 to {@link maxTimeoutMs}.
 * @param headerValue Value of {@link timeoutHeader} as Node.js provides it; undefined if the header is missing.
 * @param defaultTimeoutMs Timeout of a request without the header.
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
 * Timeout for the next hop in whole milliseconds: the time until the deadline less the network round trip, so that
 * the next hop times out before its caller does. 0 if there is no time left to forward the request.
 * @param deadlineMs Deadline on the monotonic clock.
 * @param nowMs Current time on the monotonic clock.
 * @param oneWayLatencyMs Latency of the link to the next hop.
 */
export function computeNextHopTimeoutMs(
  deadlineMs: number,
  nowMs: number,
  oneWayLatencyMs: number,
): number {
  const remainingMs = deadlineMs - nowMs - 2 * oneWayLatencyMs - processingMarginMs;
  return Math.max(0, Math.floor(remainingMs));
}
