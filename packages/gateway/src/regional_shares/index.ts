/** Which fraction of the objects of a region stays at targets near it, by service. */
export * from './queueing_cost';
export * from './regional_share';
export * from './utilization_estimate';
