/** The decisions that an entry takes for each request. */
export * from './deadline';
export * from './hedge_budget';
export * from './poison_guard';
export * from './retry_budget';
export * from './steering_types';
