/** A randomized soak test of the gateway program: injects faults and checks the promises from what callers and targets observe. */
export * from './fault_plan';
export * from './fault_proxy';
export * from './promise_checks';
export * from './run_soak';
export * from './soak_history';
