/** Generates histories and sums up what they led to. */
import * as fc from 'fast-check';
import {SegmentArchive} from '../src/segment_archive';
import {ClaimSimulation} from './claim_simulation';
import type {History, HistoryResult, RemovedPart} from './history_types';
import {eventKinds, retries, sendFaults} from './history_types';

const anySendFault = {weight: 2, arbitrary: fc.constantFrom(...sendFaults)};
const atMs = fc.integer({min: 0, max: 3_000});

/** Histories with up to two failures of the surroundings and up to four operations on two keys. */
export const histories: fc.Arbitrary<History> = fc.record({
  calls: fc.array(
    fc.record({
      key: fc.integer({min: 0, max: 1}),
      entry: fc.integer({min: 0, max: 2}),
      atMs,
      fault: fc.oneof({weight: 1, arbitrary: fc.constant('none' as const)}, anySendFault),
      retry: fc.constantFrom(...retries),
    }),
    {minLength: 1, maxLength: 4},
  ),
  events: fc.array(
    fc.record({
      kind: fc.constantFrom(...eventKinds),
      instance: fc.integer({min: 0, max: 2}),
      atMs,
      durationMs: fc.integer({min: 50, max: 12_000}),
    }),
    {maxLength: 2},
  ),
  seed: fc.integer({min: 1, max: 2 ** 20}),
  shards: fc.integer({min: 1, max: 3}),
  clockOffsetsMs: fc.array(fc.integer({min: -2_500, max: 2_500}), {minLength: 3, maxLength: 3}),
  // A quarter, because the many checkpoints of such a history take several times as long.
  shortPeriods: fc.integer({min: 0, max: 3}).map(choice => choice === 0),
});

/** Runs one history. */
export function resultOf(history: History, removed: RemovedPart = 'nothing'): HistoryResult {
  return new ClaimSimulation(history, removed).run();
}

/** Adds up results field by field. */
export function addResults(a: HistoryResult, b: HistoryResult): HistoryResult {
  return {
    doubleRuns: a.doubleRuns + b.doubleRuns,
    falseNotRuns: a.falseNotRuns + b.falseNotRuns,
    falseRuns: a.falseRuns + b.falseRuns,
    operations: a.operations + b.operations,
    unknownOperations: a.unknownOperations + b.unknownOperations,
    blockedOperations: a.blockedOperations + b.blockedOperations,
  };
}

/** The result of no history. */
export const noResult: HistoryResult = {
  doubleRuns: 0,
  falseNotRuns: 0,
  falseRuns: 0,
  operations: 0,
  unknownOperations: 0,
  blockedOperations: 0,
};

/** A share of the histories with a seed of its own, so that the result does not depend on the machine. */
export interface Part {
  readonly seed: number;
  readonly numRuns: number;
  readonly removed: RemovedPart;
}

/** What a part led to. */
export interface PartResult {
  readonly total: HistoryResult;
  /** The smallest history that breaks the promise, if one was found. */
  readonly counterexample?: string;
}

/** Runs a part. Without a part of the mechanism, all histories are run and their violations counted. */
export function runPart(part: Part): PartResult {
  const {mayContain: mayHold} = SegmentArchive.prototype;
  if (part.removed === 'archived-claims') SegmentArchive.prototype.mayContain = () => false;
  try {
    return runHistories(part);
  } finally {
    SegmentArchive.prototype.mayContain = mayHold;
  }
}

function runHistories({seed, numRuns, removed}: Part): PartResult {
  let total = noResult;
  const property = fc.property(histories, history => {
    const result = resultOf(history, removed);
    total = addResults(total, result);
    const violations =
      result.doubleRuns + result.falseNotRuns + result.falseRuns + result.blockedOperations;
    return violations === 0 || removed !== 'nothing';
  });
  const report = fc.check(property, {seed, numRuns});
  if (!report.failed) return {total};
  const error = String(report.errorInstance ?? 'the promise is broken');
  return {total, counterexample: `${error}: ${JSON.stringify(report.counterexample)}`};
}
