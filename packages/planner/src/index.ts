/** Intents, plans, confirmations and the explanation texts of refusals. */
export * from './apply_change';
export * from './confirm_plan';
export * from './explain';
export * from './explanation_texts';
export * from './make_plan';
export * from './plan_headroom';
export * from './sign';
export * from './traffic_view';
