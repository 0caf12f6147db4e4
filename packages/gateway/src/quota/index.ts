/** Quotas of workspaces. */
export type {Quotas, QuotaStatus} from './quotas';
export type {QuotaVerdict} from './quota_verdict';
export {unlimitedQuotas} from './quotas';
export {SharedQuotas} from './shared_quotas';
export {quotaFeature} from './quota_messages';
