/**
 * When a gateway queries other gateways for evidence and when it reads the store itself. All times are fractions of the bound
 * on the revocation, so that a bound of any length is met.
 */

/** Age of the evidence from which other gateways are queried. */
const queryFromFraction = 0.2;
/** Time between two rounds of queries before and after the age from which some gateway should read. */
const slowQueryFraction = 0.1;
const fastQueryFraction = 0.05;
/** Ages of the evidence between which a gateway reads the store. */
const readFromFraction = 0.3;
const readToFraction = 0.64;
/** Minimum time between two reads; also the delay after a failed one until the delays double. */
const minReadIntervalFraction = 0.1;
/** Failed reads in a row after which the delays double. At the first pace, these fill the lease from the latest first read on. */
const quickRetries = 6;
/** After an outage or a change of the era, the reads of all gateways are spread over this time. */
const restartFraction = 0.3;
/** After a failed read, all gateways together retry about ten times a second: refused calls are priced too. */
const retryIntervalPerGatewayMs = 100;

/** Schedules the queries and reads of one gateway. */
export class RenewalPace {
  private nextQueryAtMs = -Infinity;
  private nextReadAtMs = -Infinity;
  private isReadRequested = false;
  private consecutiveFailures = 0;
  private readFraction = readFromFraction;

  constructor(private readonly random: () => number) {}

  /** Called when the evidence has become fresher. */
  renewed(gatewayCount: number): void {
    const rangeFraction = readToFraction - readFromFraction;
    this.readFraction = readFromFraction + rangeFraction * this.spread(gatewayCount);
  }

  /** Spreads the next reads of all gateways, which may all need one now. */
  restart(nowMs: number, boundMs: number, gatewayCount: number): void {
    this.consecutiveFailures = 0;
    this.nextReadAtMs = nowMs + boundMs * restartFraction * this.spread(gatewayCount);
  }

  /** Makes the next read due as soon as the minimum time has passed. */
  requestRead(): void {
    this.isReadRequested = true;
  }

  isQueryDue(nowMs: number, ageMs: number, boundMs: number): boolean {
    return nowMs >= this.nextQueryAtMs && ageMs >= boundMs * queryFromFraction;
  }

  queryStarted(nowMs: number, ageMs: number, boundMs: number): void {
    const isFast = ageMs >= boundMs * readFromFraction;
    this.nextQueryAtMs = nowMs + boundMs * (isFast ? fastQueryFraction : slowQueryFraction);
  }

  isReadDue(nowMs: number, ageMs: number, boundMs: number): boolean {
    if (nowMs < this.nextReadAtMs) return false;
    return this.isReadRequested || ageMs >= boundMs * this.readFraction;
  }

  readStarted(): void {
    this.isReadRequested = false;
  }

  readEnded(hasFailed: boolean, nowMs: number, boundMs: number, gatewayCount: number): void {
    const minIntervalMs = boundMs * minReadIntervalFraction;
    if (!hasFailed) {
      this.consecutiveFailures = 0;
      this.nextReadAtMs = nowMs + minIntervalMs;
      return;
    }
    const doublings = Math.max(0, this.consecutiveFailures - quickRetries);
    const backoffMs = minIntervalMs * 2 ** doublings;
    const delayMs = Math.min(
      boundMs,
      Math.max(backoffMs, retryIntervalPerGatewayMs * gatewayCount),
    );
    this.consecutiveFailures += 1;
    this.nextReadAtMs = nowMs + delayMs * (0.5 + this.random() / 2);
  }

  /**
   * Fraction of a period after which this gateway acts. About one of all gateways acts at the start, and their number grows
   * exponentially, so that few have acted when the result of the first has reached the others.
   */
  private spread(gatewayCount: number): number {
    if (gatewayCount <= 1) return 0;
    return Math.max(0, 1 + Math.log(1 - this.random()) / Math.log(gatewayCount));
  }
}
