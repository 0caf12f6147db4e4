/** Histories of operations and failures, and their results. */

/** What goes wrong when one operation is sent. */
export const sendFaults = [
  'none',
  'entry-killed-before-send',
  'entry-killed-during-send',
  'entry-killed-after-send',
  'target-killed-before-run',
  'target-killed-after-run',
  'connection-lost-after-body',
  'connection-refused',
] as const;

/** What a caller does if it was not told that its operation ran. */
export const retries = ['none', 'at-once', 'after-replacement', 'after-a-while'] as const;

/** Failures of the store, of the network between instances, and of instances, and moves of shards. */
export const failureKinds = [
  'store-down',
  'store-slow',
  'store-answer-lost-before-write',
  'store-answer-lost-after-write',
  'store-write-late',
  'request-lost',
  'reply-lost',
  'slow-request',
  'slow-reply',
  'duplicated',
  'pause',
  'pause-and-move',
  'move',
  'two-owners',
  'kill',
  'replace-all',
] as const;

/** Faults of the messages between instances. */
export type NetworkFault =
  | 'none'
  | Extract<
      (typeof failureKinds)[number],
      'request-lost' | 'reply-lost' | 'slow-request' | 'slow-reply' | 'duplicated'
    >;

/** One operation of a caller. `entry` selects the instance that the caller sends it to. */
export interface CallStep {
  readonly key: number;
  readonly entry: number;
  readonly atMs: number;
  readonly fault: (typeof sendFaults)[number];
  readonly retry: (typeof retries)[number];
}

/** One failure at a point in time. `instance` selects the instance if the failure concerns one. */
export interface FailureStep {
  readonly kind: (typeof failureKinds)[number];
  readonly instance: number;
  readonly atMs: number;
  readonly durationMs: number;
}

/** A generated history. */
export interface History {
  readonly calls: readonly CallStep[];
  readonly failures: readonly FailureStep[];
  readonly seed: number;
  readonly shards: number;
  /** Difference between each instance's wall clock and the true time, in milliseconds. */
  readonly clockOffsetsMs: readonly number[];
  /** Whether checkpoints, segments and trimming happen within seconds instead of hours. */
  readonly shortPeriods: boolean;
}

/** Safeguards that a test disables to show that the checks detect their absence. */
export type DisabledSafeguard =
  | 'nothing'
  /** The owner looks for claims in segments. */
  | 'archived-claims'
  /** A claim is granted only after its append is durable. */
  | 'durable-append'
  /** An operation whose key is held is not sent. */
  | 'refusal-of-held-keys'
  /** The outcome of an operation is unknown after its connection is lost. */
  | 'unknown-after-lost-connection';

/** Number of operations of a history, and of violations among them. */
export interface HistoryResult {
  /** Operations that the target ran more than once. */
  readonly doubleRuns: number;
  /** Answers "not-run" about attempts that the target ran. */
  readonly falseNotRuns: number;
  /** Answers "run" about operations that the target did not run. */
  readonly falseRuns: number;
  readonly operations: number;
  readonly unknownOperations: number;
  /** Operations that are unknown at the end although every response arrived and no instance was killed. */
  readonly blockedOperations: number;
}
