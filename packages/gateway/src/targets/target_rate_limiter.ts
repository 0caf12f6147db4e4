/**
 * Keeps the requests of all gateways to a target within the rate that the target names in its answers.
 *
 * The pattern: a target in need serves on and names a few requests per second, while any number of gateways, each told at
 * another moment, go on sending at their usual rate. A window of 4 s may hold 1.5 times what the rate allows, and 5
 * requests. Gateways divide the rate without talking to each other: each spaces its requests. With many gateways, equal
 * parts would let each one send only once in minutes, and all of them could send in the same window. So a few senders
 * get most of the rate, and the others send just often enough to learn that the limit has ended.
 */
import {SenderRank} from './sender_rank';

/** Gateways that may use a limited target, and the time of the decision. */
export interface SenderView {
  readonly nowMs: number;
  readonly ownName: string;
  readonly gatewayNames: readonly string[];
}

/** A target that names a lower rate still gets a request from time to time, so that the gateways learn of the end. */
const minRequestsPerS = 0.25;
/** A sender has one request more in some windows than in others, so their number must grow with the rate. */
const sendersPerRequestPerS = 1.5;
const minSenders = 3;
/** Fraction of the rate for the senders when there are other gateways, which share the rest. */
const senderFraction = 0.8;

interface NamedLimit {
  readonly requestsPerS: number;
  /** When the latest answer that named it arrived. */
  readonly namedAtMs: number;
}

/** Limits the requests of one gateway to one target. */
export class TargetRateLimiter {
  private limit: NamedLimit | undefined;
  private lastSentAtMs = Number.NEGATIVE_INFINITY;
  /** False until a request is sent after the limit was first named. */
  private hasSent = false;
  private readonly senderRank = new SenderRank();

  /** Requests per second that the target takes from all gateways; undefined when it names no limit. */
  get requestsPerS(): number | undefined {
    return this.limit?.requestsPerS;
  }

  /** Records the limit that an answer named. */
  recordNamed(requestsPerS: number, nowMs: number): void {
    if (this.limit === undefined) {
      this.lastSentAtMs = nowMs;
      this.hasSent = false;
    }
    this.limit = {requestsPerS, namedAtMs: nowMs};
  }

  /**
   * Records an answer without a limit.
   * @param sentAtMs When its request was sent. An answer to an older request may have been overtaken.
   */
  recordNotNamed(sentAtMs: number): void {
    if (this.limit !== undefined && sentAtMs >= this.limit.namedAtMs) this.limit = undefined;
  }

  /** Forgets the limit, because a new process runs under the target's id. */
  reset(): void {
    this.limit = undefined;
  }

  /** Records that a request is sent now. */
  recordSend(nowMs: number): void {
    this.lastSentAtMs = nowMs;
    this.hasSent = true;
  }

  /** True when this gateway may send a request to the target now. */
  maySend(targetId: string, view: SenderView): boolean {
    if (this.limit === undefined) return true;
    return view.nowMs - this.lastSentAtMs >= this.waitMs(targetId, this.limit, view);
  }

  /** Time between two requests, or from the first naming to the first request. */
  private waitMs(targetId: string, limit: NamedLimit, view: SenderView): number {
    const {ownName, gatewayNames} = view;
    const requestsPerS = Math.max(minRequestsPerS, limit.requestsPerS);
    const senders = Math.floor(minSenders + sendersPerRequestPerS * requestsPerS);
    const others = gatewayNames.length - senders;
    if (others <= 0) return intervalMs(gatewayNames.length, requestsPerS);
    const rank = this.senderRank.of(targetId, ownName, gatewayNames);
    if (rank < senders) return intervalMs(senders, requestsPerS * senderFraction);
    const othersIntervalMs = intervalMs(others, requestsPerS * (1 - senderFraction));
    // The others learn of a limit at about the same time; their ranks spread their requests over the interval.
    return this.hasSent ? othersIntervalMs : othersIntervalMs * ((rank - senders) / others);
  }
}

/** Interval of each of the gateways that share a rate. */
function intervalMs(gatewayCount: number, requestsPerS: number): number {
  return (gatewayCount / requestsPerS) * 1_000;
}
