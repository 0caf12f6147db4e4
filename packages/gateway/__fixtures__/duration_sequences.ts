/** Compares the expected service time with and without reported work duration ratios over drawn sequences. */
import type {RandomSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';
import {ServiceTimeEstimator} from '../src/targets/service_time_estimator';
import {WorkDuration} from '../src/targets/work_duration';

/** Draws the true work duration ratio of a target at a time later than that of the former call. */
export type RatioSequence = (nowMs: number) => number;

/** A kind of sequence; `report` is what the target reports while the ratio is the given one. */
export interface SequenceKind {
  readonly name: string;
  readonly draw: (random: RandomSource) => RatioSequence;
  readonly report: (ratio: number, random: RandomSource) => number | undefined;
}

/** Mean distance between expected and actual service time, in units of the logarithm. */
export interface DurationErrors {
  readonly withReports: number;
  readonly withoutReports: number;
}

const usualMs = 300;
const targetCount = 20;
const durationMs = 60_000;
/** The first seconds, in which the service time and its persistence are learnt, are left out. */
const warmUpMs = 20_000;
const serviceTimeSpread = 0.15;

const reported = (ratio: number) => ratio;

/** 15% of the targets take a multiple of the time for 600 ms. */
function slowPeriods(random: RandomSource): RatioSequence {
  const slowMs = 600;
  let endsAtMs = 0;
  let isSlow = false;
  return nowMs => {
    while (nowMs >= endsAtMs) {
      isSlow = endsAtMs > 0 && !isSlow;
      endsAtMs += isSlow ? slowMs : -Math.log(1 - random.next()) * (slowMs * (0.85 / 0.15));
    }
    return isSlow ? 2.5 : 1;
  };
}

/** A level that changes at random times. */
function levels(meanMs: number): SequenceKind['draw'] {
  return random => {
    let endsAtMs = 0;
    let ratio = 1;
    return nowMs => {
      while (nowMs >= endsAtMs) {
        endsAtMs += -Math.log(1 - random.next()) * meanMs;
        ratio = Math.exp(1.4 * random.next() - 0.5);
      }
      return ratio;
    };
  };
}

/** Kinds of sequences of the measurement. */
export const sequenceKinds: readonly SequenceKind[] = [
  {name: 'slow for 600 ms', draw: slowPeriods, report: reported},
  {name: 'changes every 5 s', draw: levels(5_000), report: reported},
  {name: 'changes every 300 ms', draw: levels(300), report: reported},
  {name: 'changes every 20 ms', draw: levels(20), report: reported},
  {name: 'frozen report', draw: levels(1_000), report: () => 3},
  {
    name: 'random report',
    draw: () => () => 1,
    report: (_ratio, random) => Math.exp(3 * random.next() - 1.5),
  },
  {
    name: 'absurd report',
    draw: slowPeriods,
    report: (ratio, random) => (random.next() < 0.5 ? ratio : 1e6),
  },
  {
    name: 'reports of a third are false',
    draw: slowPeriods,
    report: (ratio, random) => (random.next() < 1 / 3 ? 4 : ratio),
  },
  {name: 'no report', draw: slowPeriods, report: () => undefined},
];

/** Simulates answers of targets at a rate per target, and compares the expected time before each with the actual one. */
export function durationErrors(kind: SequenceKind, ratePerS: number, seed: number): DurationErrors {
  const random = seededRandom(seed);
  const withReports = new ServiceTimeEstimator();
  const withoutReports = new ServiceTimeEstimator();
  const targets = Array.from({length: targetCount}, () => ({
    ratioAt: kind.draw(random),
    duration: new WorkDuration(),
  }));
  const sums = {withReports: 0, withoutReports: 0, count: 0};
  let nowMs = 0;
  while (nowMs < durationMs) {
    nowMs += -Math.log(1 - random.next()) * (1_000 / (ratePerS * targetCount));
    const target = targets[Math.floor(random.next() * targetCount)];
    if (target === undefined) continue;
    const ratio = target.ratioAt(nowMs);
    const serviceTimeMs = usualMs * ratio * (1 + serviceTimeSpread * (2 * random.next() - 1));
    const {durationModel} = withReports;
    const factor = target.duration.factor(nowMs, durationModel);
    if (nowMs >= warmUpMs) {
      const expectedMs = withReports.averageMs() * factor;
      sums.withReports += Math.abs(Math.log(expectedMs / serviceTimeMs));
      sums.withoutReports += Math.abs(Math.log(withoutReports.averageMs() / serviceTimeMs));
      sums.count += 1;
    }
    target.duration.recordReport(kind.report(ratio, random), nowMs, durationModel);
    withReports.observe(
      target.duration.normalize(serviceTimeMs, nowMs, durationModel, withReports),
      false,
    );
    withoutReports.observe(serviceTimeMs, false);
  }
  return {
    withReports: sums.withReports / sums.count,
    withoutReports: sums.withoutReports / sums.count,
  };
}
