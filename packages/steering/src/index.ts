/** Traffic steering: the decisions that an entry process makes for each request. */
export * from './admission_queue';
export * from './loan_registry';
export * from './overflow_budget';
export * from './peer_borrowing';
export * from './region_assignment';
export * from './routes';
export * from './share_ramp';
export * from './division_cache';
export * from './slot_division';
export * from './slot_pool';
export * from './steering';
export * from './deadline';
export * from './hedge_budget';
export * from './poison_guard';
export * from './retry_budget';
export * from './steering_types';
export * from './target_state';
