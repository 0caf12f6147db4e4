/** Admits the requests of a gateway: by rank and workspace where the configuration has workspaces, else each one alone. */
import type {TimeSource} from '@cuminsill/utils';
import type {ForwardedRequest} from '../forwarding/forwarded_request';
import type {RouteRule, WorkspaceRule} from '../gateway_types';
import type {ConfigurationView} from '../store/configuration_view';
import type {Admission, AdmissionInput} from './admit';
import {admit} from './admit';
import {ServiceAdmission} from './service_admission';

/** An admission, with what it was decided on. */
export interface AdmissionRecord {
  readonly input: AdmissionInput;
  readonly admission: Admission;
  /** Rank by which it was decided: the route's priority, after the workspace's where there are workspaces. */
  readonly rank: string;
}

/** Larger priorities count as this one, which bounds the number of ranks. */
const maxPriority = 7;
/** Public requests of a rank are one workspace, whose name no configured workspace has. */
const publicWorkspaceName = '';

/** The admission of all services of a gateway. */
export class ServiceAdmissions {
  private readonly byService = new Map<string, ServiceAdmission>();

  of(service: string): ServiceAdmission {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const admission = new ServiceAdmission();
    this.byService.set(service, admission);
    return admission;
  }
}

/** What admission needs of a gateway. */
export interface AdmissionPorts {
  readonly admissions: ServiceAdmissions;
  readonly configuration: Pick<ConfigurationView, 'workspaces'>;
  readonly time: TimeSource;
}

/**
 * Decides whether a request is sent to the target that was chosen for it.
 * @param isRetry True for a further attempt, which is no new demand and has had its admission.
 */
export function admitRequest(
  {admissions, configuration, time}: AdmissionPorts,
  {route, service, workspace}: ForwardedRequest,
  input: AdmissionInput,
  isRetry: boolean,
): AdmissionRecord {
  if (!configuration.workspaces.requiresKeys) {
    return {input, admission: admit(input), rank: String(route.priority)};
  }
  const rank = `${workspacePriority(route, workspace)}/${route.priority}`;
  if (isRetry) return {input, admission: admit(input), rank};
  const admission = admissions.of(service).decide(
    {
      rankOrder: rankOrderOf(route, workspace),
      workspace: workspace?.name ?? publicWorkspaceName,
      input,
    },
    time.monotonicMs(),
  );
  return {input, admission, rank};
}

/** Place of a request's rank: the workspace's priority goes before the route's. */
export function rankOrderOf(route: RouteRule, workspace: WorkspaceRule | undefined): number {
  const first = Math.min(maxPriority, workspacePriority(route, workspace));
  return first * (maxPriority + 1) + Math.min(maxPriority, route.priority);
}

/** A public request has no workspace; its route says how urgent it is. */
function workspacePriority(route: RouteRule, workspace: WorkspaceRule | undefined): number {
  return workspace?.priority ?? route.priority;
}
