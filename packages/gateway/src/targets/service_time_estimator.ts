/**
 * Estimates the service times of a service for cached and uncached objects. A gateway cannot tell which objects a
 * target has cached for other gateways, so whether a sample was a cache hit shows only in its length. Recent samples
 * are therefore divided into a group of short and a group of long times.
 */

import {DurationModel} from './work_duration';

/** Estimates before the first answer. */
const initialCachedMs = 150;
const initialUncachedMs = 400;
/** Number of recent samples that the estimates use. */
const maxSamples = 48;
/** Weight of the old mean in the exponentially weighted moving average. */
const meanSmoothingFactor = 0.9;
/** Groups whose means differ by less than this factor count as one group. */
const minGroupRatio = 1.6;
/** Maximum ratio of uncached to cached time that is assumed while samples show only one of them. */
const maxAssumedRatio = 4;

/** Interval of the requests that are sent although every answer so far has taken longer than they can wait. */
const trialIntervalMs = 2_000;

/** Service time estimates of one service. */
export class ServiceTimeEstimator {
  /** What reported work duration ratios of the service's targets say. */
  readonly durationModel = new DurationModel();
  private shortestMs = 0;
  private hasAnswers = false;
  private lastTrialAtMs = Number.NEGATIVE_INFINITY;
  /** Recent samples in order of their arrival, as a ring. */
  private readonly logSamples: number[] = [];
  /** The same samples in ascending order. */
  private readonly sortedLogSamples: number[] = [];
  private nextSampleIndex = 0;
  private cachedMs = initialCachedMs;
  private uncachedMs = initialUncachedMs;
  private meanMs = initialUncachedMs;

  /**
   * Adds the service time of one answer, at the usual speed of targets.
   * @param mayHaveWaited True when the request may have waited at its target, so that the time includes a wait.
   */
  observe(serviceTimeMs: number, mayHaveWaited: boolean): void {
    this.meanMs = meanSmoothingFactor * this.meanMs + (1 - meanSmoothingFactor) * serviceTimeMs;
    if (mayHaveWaited) return;
    this.replaceOldestSample(Math.log(Math.max(1, serviceTimeMs)));
    this.updateEstimates();
  }

  /** Records the service time of any answer, also one that is no sample for the expected time. */
  recordAnswer(serviceTimeMs: number): void {
    this.shortestMs = this.hasAnswers ? Math.min(this.shortestMs, serviceTimeMs) : serviceTimeMs;
    this.hasAnswers = true;
  }

  /** Shortest service time of an answer so far; 0 before the first one. */
  minMs(): number {
    return this.shortestMs;
  }

  /** True for a few requests, whose answers show whether the service can be faster than it was so far. */
  takeTrial(nowMs: number): boolean {
    if (nowMs - this.lastTrialAtMs < trialIntervalMs) return false;
    this.lastTrialAtMs = nowMs;
    return true;
  }

  /** Expected service time of a request, for a cached or uncached object. */
  expectedMs(isCached: boolean): number {
    return isCached ? this.cachedMs : this.uncachedMs;
  }

  /** Average service time over all requests, cached or not. */
  averageMs(): number {
    return this.meanMs;
  }

  private replaceOldestSample(logSample: number): void {
    const oldest = this.logSamples[this.nextSampleIndex];
    if (oldest !== undefined) {
      this.sortedLogSamples.splice(this.sortedLogSamples.indexOf(oldest), 1);
    }
    this.logSamples[this.nextSampleIndex] = logSample;
    this.nextSampleIndex = (this.nextSampleIndex + 1) % maxSamples;
    const position = this.sortedLogSamples.findIndex(value => value > logSample);
    this.sortedLogSamples.splice(
      position < 0 ? this.sortedLogSamples.length : position,
      0,
      logSample,
    );
  }

  private updateEstimates(): void {
    const {lower, upper} = splitIntoTwoGroups(this.sortedLogSamples);
    if (upper - lower >= Math.log(minGroupRatio)) {
      this.cachedMs = Math.exp(lower);
      this.uncachedMs = Math.max(Math.exp(upper), this.uncachedMs * 0.98);
      return;
    }
    const singleGroupMs = Math.exp((lower + upper) / 2);
    const geometricMeanMs = Math.sqrt(this.cachedMs * this.uncachedMs);
    if (singleGroupMs < geometricMeanMs) {
      this.cachedMs = singleGroupMs;
      this.uncachedMs = Math.min(this.uncachedMs, singleGroupMs * maxAssumedRatio);
    } else {
      this.uncachedMs = singleGroupMs;
      this.cachedMs = Math.max(this.cachedMs, singleGroupMs / maxAssumedRatio);
    }
  }
}

interface GroupMeans {
  readonly lower: number;
  readonly upper: number;
}

/** Splits samples in ascending order where the variance between the groups is largest (Otsu 1979); returns the group means. */
function splitIntoTwoGroups(sorted: readonly number[]): GroupMeans {
  const total = sorted.reduce((sum, value) => sum + value, 0);
  const mean = total / sorted.length;
  let best: GroupMeans = {lower: mean, upper: mean};
  let bestVariance = 0;
  let sum = 0;
  for (let count = 1; count < sorted.length; count += 1) {
    sum += sorted[count - 1] ?? 0;
    const lower = sum / count;
    const upper = (total - sum) / (sorted.length - count);
    const variance = count * (sorted.length - count) * (upper - lower) ** 2;
    if (variance <= bestVariance) continue;
    bestVariance = variance;
    best = {lower, upper};
  }
  return best;
}

/** The estimators of all services. */
export class ServiceTimeEstimators {
  private readonly byService = new Map<string, ServiceTimeEstimator>();

  of(service: string): ServiceTimeEstimator {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const estimator = new ServiceTimeEstimator();
    this.byService.set(service, estimator);
    return estimator;
  }
}
