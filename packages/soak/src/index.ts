/** A randomized soak test of the gateway program under injected faults. */
export * from './fault_plan';
export * from './fault_proxy';
export * from './promise_bounds';
export * from './promise_checks';
export * from './run_soak';
export * from './soak_history';
