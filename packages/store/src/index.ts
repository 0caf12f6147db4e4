/** Access to the platform store, and the fenced log on top of it. */
export * from './http_store';
export * from './platform_store';
export * from './store_log';
