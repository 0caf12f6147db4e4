/** Logs and metrics. */
export * from './bounded_tag';
export * from './logger';
export * from './metrics';
