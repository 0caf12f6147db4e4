/** At-most-once execution of operations: claim shards on top of the fenced store log. */
export * from './claim_authority';
export * from './claim_session';
export * from './claim_types';
export {claimIdOf, InvalidClaimRecordError, maxStoredBodyBytes} from './claim_records';
export {claimRetentionMs} from './claim_table';
export type {ClaimShardCounts} from './claim_shard_options';
