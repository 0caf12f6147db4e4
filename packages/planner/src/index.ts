/** Intents, plans, confirmations and the explanation texts of refusals. */
export * from './apply_change';
