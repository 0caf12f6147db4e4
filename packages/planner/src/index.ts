/** Makes, signs and confirms plans, applies configuration changes, and explains refusals. */
export * from './apply_change';
export * from './confirm_plan';
export * from './refusal_token';
export * from './explanation_texts';
export * from './make_plan';
export * from './plan_headroom';
export * from './sign';
export * from './traffic_view';
