export * from './json_fields';
export * from './event_queue';
/** Small tools without knowledge of traffic steering. */
export * from './hash';
export * from './random';
export * from './rendezvous';
export * from './time';
export * from './token_bucket';
