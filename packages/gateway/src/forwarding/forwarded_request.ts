/** A caller's request on its way to targets. */
import type {RouteRule, WorkspaceRule} from '../gateway_types';
import type {CallerRequest} from '../requests/caller_request';

/** A request with the route, service and deadline for forwarding it. */
export interface ForwardedRequest {
  readonly request: CallerRequest;
  readonly route: RouteRule;
  readonly service: string;
  /** Workspace of the caller; undefined when the request needs no key. */
  readonly workspace: WorkspaceRule | undefined;
  /** Equal for repetitions of a request; used to detect poison requests. */
  readonly fingerprint: string;
  /** Deadline on the monotonic clock. */
  readonly deadlineMs: number;
  /** True when another gateway relays the request to this one, so that it must not be relayed again. */
  readonly isRelayed: boolean;
}
