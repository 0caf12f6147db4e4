/** The frame that all daemon programs share. */
export * from './run_daemon';
