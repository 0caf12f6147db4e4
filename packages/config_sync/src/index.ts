/** Stores configuration changes in a log, distributes them to all instances and adopts them in version order. */
export * from './config_sync';
export * from './errors';
export * from './options';
