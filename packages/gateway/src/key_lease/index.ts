/** The lease on the keys of workspaces. */
export type {KeyLease, KeyLeaseStatus} from './key_lease';
export {unlimitedKeyLease} from './key_lease';
export type {RunningKeyLease} from './make_key_lease';
export {leaseFeature, makeKeyLease} from './make_key_lease';
