/**
 * Uses the work duration ratio that some targets report: the present service time at a target relative to the usual one.
 * It changes many times a second, so how much an older report says is learnt from how well a target's former report
 * predicted its next one. A report that is missing, absurd, frozen or false must not do harm: ratios are bounded, their
 * effect ends with their age, and a target whose reports do not explain its service times is not trusted.
 */

/** Reports outside these bounds are ignored. */
const minCredibleRatio = 0.02;
const maxCredibleRatio = 50;
/** Bounds of the ratio that is used, so that a false report alone does not keep all requests from a target. */
export const minUsedRatio = 0.5;
const maxUsedRatio = 4;
/** A report loses at least half of its effect in this time, so that a target without requests gets some again. */
const maxHalfLifeMs = 3_000;
/** Upper bounds of the groups of ages in which the correlation is learnt; ages beyond the last one are not used. */
const ageBoundsMs = [30, 60, 120, 250, 500, 1_000, 2_000, 4_000, 8_000];
/** Variation that must have been seen before half of the correlation is believed, in squares of the logarithm. */
const priorVariation = 0.5;
/** Weight of the earlier pairs of reports after one more: the last thousand or so count. */
const pairSmoothing = 0.999;
/** Weight of the earlier answers in the trust of a target: the last ten or so count. */
const benefitSmoothing = 0.9;
/** Average loss of accuracy up to which a target is trusted; service times vary by more than that. */
const toleratedLoss = 0.05;

/** Regression over recent pairs of values. */
class RecentRegression {
  private count = 0;
  private inputSum = 0;
  private outputSum = 0;
  private inputSquareSum = 0;
  private productSum = 0;

  add(input: number, output: number): void {
    this.count = this.count * pairSmoothing + 1;
    this.inputSum = this.inputSum * pairSmoothing + input;
    this.outputSum = this.outputSum * pairSmoothing + output;
    this.inputSquareSum = this.inputSquareSum * pairSmoothing + input ** 2;
    this.productSum = this.productSum * pairSmoothing + input * output;
  }

  get inputMean(): number {
    return this.count === 0 ? 0 : this.inputSum / this.count;
  }

  /** Slope between 0 and 1; small until the input has varied. */
  get slope(): number {
    if (this.count === 0) return 0;
    const covariation = this.productSum - (this.inputSum * this.outputSum) / this.count;
    const variation = this.inputSquareSum - this.inputSum ** 2 / this.count;
    return Math.min(1, Math.max(0, covariation / (variation + priorVariation)));
  }
}

/** Learns what the work duration ratios of a service's targets say about present and later service times. */
export class DurationModel {
  private readonly pairsByAge = ageBoundsMs.map(() => new RecentRegression());
  private readonly serviceTimes = new RecentRegression();
  private weights: readonly number[] = ageBoundsMs.map(() => 0);

  /** Records two consecutive reports of a target as logarithms of their ratios. */
  recordPair(formerLog: number, nextLog: number, ageMs: number): void {
    const pairs = this.pairsByAge[groupOf(ageMs)];
    if (pairs === undefined) return;
    pairs.add(formerLog, nextLog);
    this.updateWeights();
  }

  /** Records the logarithms of the ratio and the service time of an answer. */
  recordAnswer(ratioLog: number, serviceLog: number): void {
    this.serviceTimes.add(ratioLog, serviceLog);
  }

  /**
   * Logarithm of the present service time relative to the average of the service, as a report tells. Relative to the
   * average, so that a figure that is the same at all targets has no effect.
   */
  effectOf(ratioLog: number): number {
    return this.serviceTimes.slope * (ratioLog - this.serviceTimes.inputMean);
  }

  /** Fraction of the effect of a report that is expected after the time, between 0 and 1. */
  weightAt(ageMs: number): number {
    return this.weights[groupOf(ageMs)] ?? 0;
  }

  /** A shorter time cannot preserve less than a longer one; this also fills groups without pairs. */
  private updateWeights(): void {
    let longer = 0;
    const descending = [...this.pairsByAge].reverse().map(pairs => {
      longer = Math.max(longer, pairs.slope);
      return longer;
    });
    this.weights = descending.reverse();
  }
}

function groupOf(ageMs: number): number {
  const index = ageBoundsMs.findIndex(boundMs => ageMs <= boundMs);
  return index < 0 ? ageBoundsMs.length : index;
}

/** Expected service times of a service without regard to a target's state. */
export interface UsualTimes {
  /** Expected service time for a cached or uncached object. */
  expectedMs(isCached: boolean): number;
}

/** Work duration ratio of one target. */
export class WorkDuration {
  /** Undefined before the first credible report. */
  private latestLog: number | undefined;
  private reportedAtMs = Number.NEGATIVE_INFINITY;
  /** Average gain in accuracy of the expected service time by the reports, in units of the logarithm. */
  private benefit = 0;

  /** Records the ratio of an answer, if it has one that is credible. */
  recordReport(ratio: number | undefined, nowMs: number, model: DurationModel): void {
    if (ratio === undefined || !isCredible(ratio)) return;
    const nextLog = Math.log(Math.min(maxUsedRatio, Math.max(minUsedRatio, ratio)));
    if (this.latestLog !== undefined) {
      model.recordPair(this.latestLog, nextLog, nowMs - this.reportedAtMs);
    }
    this.latestLog = nextLog;
    this.reportedAtMs = nowMs;
  }

  /**
   * Returns the service time that an answer would have taken at an average target, as the report in the answer tells.
   * Compares first whether the reports explain the service times of this target.
   */
  normalize(serviceTimeMs: number, nowMs: number, model: DurationModel, usual: UsualTimes): number {
    if (this.latestLog === undefined || this.reportedAtMs !== nowMs) return serviceTimeMs;
    const serviceLog = Math.log(Math.max(1, serviceTimeMs));
    model.recordAnswer(this.latestLog, serviceLog);
    const effect = model.effectOf(this.latestLog);
    const gain = errorOf(serviceLog, usual) - errorOf(serviceLog - effect, usual);
    this.benefit = benefitSmoothing * this.benefit + (1 - benefitSmoothing) * gain;
    return this.isTrusted ? serviceTimeMs * Math.exp(-effect) : serviceTimeMs;
  }

  /** Expected service time at the target now as a multiple of the usual one; 1 without a recent report. */
  factor(nowMs: number, model: DurationModel): number {
    if (this.latestLog === undefined || !this.isTrusted) return 1;
    const ageMs = nowMs - this.reportedAtMs;
    const weight = Math.min(model.weightAt(ageMs), 2 ** (-ageMs / maxHalfLifeMs));
    const effect = weight * model.effectOf(this.latestLog);
    return Math.min(maxUsedRatio, Math.max(minUsedRatio, Math.exp(effect)));
  }

  /** Forgets everything, because a new process runs under the target's id. */
  reset(): void {
    this.latestLog = undefined;
    this.reportedAtMs = Number.NEGATIVE_INFINITY;
    this.benefit = 0;
  }

  private get isTrusted(): boolean {
    return this.benefit >= -toleratedLoss;
  }
}

function isCredible(ratio: number): boolean {
  return ratio >= minCredibleRatio && ratio <= maxCredibleRatio;
}

/** Distance of a service time to the nearer of the usual times: whether the object was cached is not known. */
function errorOf(serviceLog: number, usual: UsualTimes): number {
  const distances = [true, false].map(isCached =>
    Math.abs(serviceLog - Math.log(Math.max(1, usual.expectedMs(isCached)))),
  );
  return Math.min(...distances);
}
