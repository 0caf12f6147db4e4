/**
 * Authenticates a request by its key. Keys are valid only while the gateway holds the lease on them: without it, a key may
 * have been revoked, and an unknown key may have been added.
 */
import type {RouteRule, WorkspaceRule} from '../gateway_types';
import type {WorkspaceDirectory} from './workspace_directory';

/** Result of the authentication. */
export type Authentication =
  /** The request needs no key. */
  | {readonly kind: 'anonymous'}
  | {readonly kind: 'authenticated'; readonly workspace: WorkspaceRule}
  | {readonly kind: 'unknown-key'}
  /** The gateway cannot tell now whether the key is valid. */
  | {readonly kind: 'keys-not-confirmed'};

const anonymous: Authentication = {kind: 'anonymous'};

/**
 * Authenticates a request.
 * @param apiKey Key of the request; undefined when it has none.
 * @param isLeaseValid Whether the gateway may use its keys now.
 */
export function authenticate(
  directory: WorkspaceDirectory,
  route: RouteRule,
  apiKey: string | undefined,
  isLeaseValid: boolean,
): Authentication {
  if (!directory.requiresKeys || route.isPublic) return anonymous;
  if (!isLeaseValid) return {kind: 'keys-not-confirmed'};
  const workspace = directory.findByKey(apiKey);
  return workspace === undefined ? {kind: 'unknown-key'} : {kind: 'authenticated', workspace};
}
