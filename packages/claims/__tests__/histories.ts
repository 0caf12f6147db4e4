/** Generates histories, runs them and adds up their results. */
import * as fc from 'fast-check';
import {SegmentArchive} from '../src/segment_archive';
import {ClaimSimulation} from './claim_simulation';
import type {History, HistoryResult, DisabledSafeguard} from './history_types';
import {failureKinds, retries, sendFaults} from './history_types';

const anySendFault = {weight: 2, arbitrary: fc.constantFrom(...sendFaults)};
const atMs = fc.integer({min: 0, max: 3_000});

/** Histories with up to four operations on two keys and up to two failures of the store, network or instances. */
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
  failures: fc.array(
    fc.record({
      kind: fc.constantFrom(...failureKinds),
      instance: fc.integer({min: 0, max: 2}),
      atMs,
      durationMs: fc.integer({min: 50, max: 12_000}),
    }),
    {maxLength: 2},
  ),
  seed: fc.integer({min: 1, max: 2 ** 20}),
  shards: fc.integer({min: 1, max: 3}),
  clockOffsetsMs: fc.array(fc.integer({min: -2_500, max: 2_500}), {minLength: 3, maxLength: 3}),
  // Only a quarter of the histories, because the many checkpoints make such a history run several times as long.
  shortPeriods: fc.integer({min: 0, max: 3}).map(choice => choice === 0),
});

/** Runs one history. */
export function runHistory(
  history: History,
  disabled: DisabledSafeguard = 'nothing',
): HistoryResult {
  return new ClaimSimulation(history, disabled).run();
}

/** Adds two results field by field. */
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

/** The identity of `addResults`: all counts are zero. */
export const emptyResult: HistoryResult = {
  doubleRuns: 0,
  falseNotRuns: 0,
  falseRuns: 0,
  operations: 0,
  unknownOperations: 0,
  blockedOperations: 0,
};

/** A batch of histories. It has its own seed, so that its result does not depend on which worker runs it. */
export interface HistoryBatch {
  readonly seed: number;
  readonly numRuns: number;
  readonly disabled: DisabledSafeguard;
}

/** The result of a batch. */
export interface BatchResult {
  readonly total: HistoryResult;
  /** The error and the shrunk history that violates the at-most-once guarantee, if one was found. */
  readonly counterexample?: string;
}

/** Runs a batch. If a safeguard is disabled, runs all histories and counts their violations. */
export function runBatch(batch: HistoryBatch): BatchResult {
  const {mayContain} = SegmentArchive.prototype;
  if (batch.disabled === 'archived-claims') SegmentArchive.prototype.mayContain = () => false;
  try {
    return runHistories(batch);
  } finally {
    SegmentArchive.prototype.mayContain = mayContain;
  }
}

function runHistories({seed, numRuns, disabled}: HistoryBatch): BatchResult {
  let total = emptyResult;
  const property = fc.property(histories, history => {
    const result = runHistory(history, disabled);
    total = addResults(total, result);
    const violations =
      result.doubleRuns + result.falseNotRuns + result.falseRuns + result.blockedOperations;
    return violations === 0 || disabled !== 'nothing';
  });
  const report = fc.check(property, {seed, numRuns});
  if (!report.failed) return {total};
  const error = String(report.errorInstance ?? 'the at-most-once guarantee is violated');
  return {total, counterexample: `${error}: ${JSON.stringify(report.counterexample)}`};
}
