/** What a claim shard is started with, and what it counts. */
import type {Logger} from '@cuminsill/logger';
import type {CheckpointCounts, CheckpointSettings} from './checkpoint_keeper';
import type {SegmentStore} from './segment_archive';
import type {ShardAppenderOptions} from './shard_appender';

/** Settings and surroundings of a shard's owner. */
export interface ClaimShardOptions extends ShardAppenderOptions {
  readonly instanceId: string;
  readonly segmentStore: SegmentStore;
  /** Name of the shard in logs. */
  readonly shardName?: string;
  readonly logger?: Logger;
  /** Periods of checkpoints and segments that differ from the usual ones. */
  readonly checkpoints?: Partial<CheckpointSettings>;
  /** How long a request waits for its append, in milliseconds. Default 2,000. */
  readonly replyWaitMs?: number;
}

/** Counters of a shard since the start of the process. */
export interface ClaimShardCounts extends Readonly<CheckpointCounts> {
  readonly appends: number;
  readonly takeovers: number;
  readonly stepDowns: number;
  readonly invalidRecords: number;
  /** Exceptions that ended a round of the shard. */
  readonly defects: number;
}
