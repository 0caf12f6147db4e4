export * from './json_fields';
/** Small tools without knowledge of traffic steering. */
export * from './hash';
export * from './random';
export * from './rendezvous';
export * from './time';
export * from './token_bucket';
