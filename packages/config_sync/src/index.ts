/** The configuration log, its distribution to peers and its monotonic adoption. */
export * from './config_sync';
export * from './errors';
export * from './options';
