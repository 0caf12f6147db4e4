/** A randomized soak of the gateway program: faults from outside, and the promises checked from what callers and targets see. */
export * from './fault_plan';
export * from './fault_proxy';
export * from './promise_checks';
export * from './run_soak';
export * from './soak_history';
