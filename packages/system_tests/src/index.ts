/** Helpers for tests with real processes. */
export * from './caller_client';
export * from './daemon_process';
export * from './fuzz_settings';
export * from './operator_client';
export * from './system_harness';
export * from './test_deployment';
export * from './wait_until';
