/** General-purpose helpers that do not depend on traffic steering. */
export * from './hop_by_hop_headers';
export * from './http_syntax';
export * from './event_queue';
export * from './hash';
export * from './json_fields';
export * from './random';
export * from './rendezvous';
export * from './response_faults';
export * from './time';
export * from './token_bucket';
