/** The record by which other gateways find this one, and what it says that this build understands. */
import type {GatewayRecord, GatewaySettings} from './gateway_types';
import {freshnessFeature} from './freshness';
import {leaseFeature} from './key_lease';
import {quotaFeature} from './quota';

/** Returns the record of the gateway with these settings. */
export function gatewayRecordOf(settings: GatewaySettings): GatewayRecord {
  const features = [leaseFeature, freshnessFeature];
  return {
    name: settings.name,
    region: settings.region,
    failureDomain: settings.failureDomain,
    callerAddress: settings.listen.callers,
    peerAddress: settings.listen.peers,
    features: settings.bounds.quota === undefined ? features : [...features, quotaFeature],
  };
}
