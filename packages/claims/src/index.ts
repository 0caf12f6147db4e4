/** At most once: claim shards over the fenced store log. */
export * from './claim_authority';
export * from './claim_session';
export * from './claim_types';
export {claimIdOf, InvalidClaimRecordError, maxKeptBodyBytes} from './claim_records';
export {retentionMs} from './claim_table';
export type {ClaimShardCounts} from './claim_shard_options';
