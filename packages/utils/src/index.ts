/** Small tools without knowledge of traffic steering. */
export * from './connection_headers';
export * from './event_queue';
export * from './hash';
export * from './json_fields';
export * from './random';
export * from './rendezvous';
export * from './time';
export * from './token_bucket';
