/** The main function that the daemon programs share. */
export * from './run_daemon';
