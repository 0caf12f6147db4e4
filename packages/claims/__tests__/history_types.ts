/** Histories of operations and failures, and what they lead to. */
/** What goes wrong with one send. */
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

/** What a caller does that was not told "run". */
export const retries = ['none', 'at-once', 'after-replacement', 'after-a-while'] as const;

/** Failures of the surroundings. */
export const eventKinds = [
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

/** Faults of messages between instances. */
export type NetworkFault =
  | 'none'
  | Extract<
      (typeof eventKinds)[number],
      'request-lost' | 'reply-lost' | 'slow-request' | 'slow-reply' | 'duplicated'
    >;

/** One operation of a caller. */
export interface CallStep {
  readonly key: number;
  readonly entry: number;
  readonly atMs: number;
  readonly fault: (typeof sendFaults)[number];
  readonly retry: (typeof retries)[number];
}

/** One failure of the surroundings. */
export interface EventStep {
  readonly kind: (typeof eventKinds)[number];
  readonly instance: number;
  readonly atMs: number;
  readonly durationMs: number;
}

/** A generated history. */
export interface History {
  readonly calls: readonly CallStep[];
  readonly events: readonly EventStep[];
  readonly seed: number;
  readonly shards: number;
  /** Difference of each instance's wall clock from the true time, in milliseconds. */
  readonly clockOffsetsMs: readonly number[];
  /** Checkpoints, segments and trimming within seconds instead of hours. */
  readonly shortPeriods: boolean;
}

/** Parts of the mechanism that a test removes to show that the checks notice. */
export type RemovedPart =
  | 'nothing'
  | 'archived-claims'
  | 'durable-append'
  | 'refusal-of-held-keys'
  | 'unknown-after-lost-connection';

/** What a history led to. */
export interface HistoryResult {
  readonly doubleRuns: number;
  readonly falseNotRuns: number;
  readonly falseRuns: number;
  readonly operations: number;
  readonly unknownOperations: number;
  /** Unknown at the end although every response arrived and no instance died. */
  readonly blockedOperations: number;
}
