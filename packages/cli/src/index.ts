/** The operators' command line, for programs that run it in their own process. */
export * from './cli_io';
export * from './exit_codes';
export * from './run_cli';
export * from './settings_checkers';
