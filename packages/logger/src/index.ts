/** Logs and metrics. */
export * from './logger';
export * from './metrics';
