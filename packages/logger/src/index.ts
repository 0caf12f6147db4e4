/** Structured logs and StatsD metrics. */
export * from './limit_tag_values';
export * from './logger';
export * from './metrics';
