/** Bounds the age of what a gateway knows of the store. */
export type {RunningStoreFreshness} from './make_store_freshness';
export {freshnessFeature, makeStoreFreshness} from './make_store_freshness';
