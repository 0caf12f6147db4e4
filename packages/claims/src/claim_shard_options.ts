/** Options and counters of a claim shard. */
import type {Logger} from '@cuminsill/logger';
import type {CheckpointCounts, CheckpointSettings} from './checkpointer';
import type {SegmentStore} from './segment_archive';
import type {ShardAppenderOptions} from './shard_appender';

/** Settings and dependencies of a claim shard. */
export interface ClaimShardOptions extends ShardAppenderOptions {
  readonly instanceId: string;
  readonly segmentStore: SegmentStore;
  /** Name of the shard in log records. */
  readonly shardName?: string;
  readonly logger?: Logger;
  /** Overrides of the default checkpoint settings. */
  readonly checkpoints?: Partial<CheckpointSettings>;
  /** Maximum time that a request waits for its append, in milliseconds. Default 2,000. */
  readonly replyTimeoutMs?: number;
}

/** Counters of a shard since the start of the process. */
export interface ClaimShardCounts extends Readonly<CheckpointCounts> {
  /** Calls of the store that append to the log, including failed ones. */
  readonly appends: number;
  readonly takeovers: number;
  /** How often this instance gave up the shard because another owner had written to its log or its checkpoint. */
  readonly stepDowns: number;
  /** Replays that failed because a record, checkpoint or segment in the store could not be decoded. */
  readonly invalidRecords: number;
  /** Unexpected exceptions after which the shard was restarted. */
  readonly defects: number;
}
