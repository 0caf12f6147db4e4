/** At most once: claim shards over the fenced store log. */
export * from './claim_types';
