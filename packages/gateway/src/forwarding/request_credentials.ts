/** What becomes of a request's key while it is forwarded. */
import type {GatewayParts} from '../gateway_parts';
import type {FinalAnswer} from '../requests/final_answer';
import {ownAnswer} from '../requests/final_answer';
import type {ForwardedRequest} from './forwarded_request';

/**
 * Returns the refusal of a request whose key may no longer be valid. The lease on the keys may have ended, or the key may have
 * been revoked, while the request waited or was at another target.
 */
export function keyRefusal(
  {keyLease, configuration}: GatewayParts,
  {workspace, request}: ForwardedRequest,
): FinalAnswer | undefined {
  if (workspace === undefined) return undefined;
  if (!keyLease.isValid()) return ownAnswer('keys-not-confirmed', keyLease.retryAfterMs());
  const holder = configuration.workspaces.findByKey(request.head.apiKey);
  return holder?.name === workspace.name ? undefined : ownAnswer('unknown-key');
}

/** Names of the caller's headers that targets do not get: keys stay with the gateways, which alone name the workspace. */
export function headersReplacedForTargets({
  requestWire,
  configuration,
}: GatewayParts): ReadonlySet<string> {
  if (!configuration.workspaces.requiresKeys) return requestWire.replacedHeaders;
  return new Set([...requestWire.replacedHeaders, ...requestWire.credentialHeaders]);
}
