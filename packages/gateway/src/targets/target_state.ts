/** Tells whether a target is used, and if not, why. */
import type {EvacuationView} from './evacuation_view';
import type {Target} from './target';

/** Number of targets of a service in one state. */
export interface TargetCount {
  readonly service: string;
  readonly state: string;
  readonly count: number;
}

/** Returns `usable`, or the reason why the target is not used. */
export function targetState(
  target: Target,
  {evacuatedDomains}: EvacuationView,
  nowMs: number,
): string {
  if (target.isLeaving) return 'draining';
  if (!target.isAssignable) return 'wrong address';
  if (evacuatedDomains.has(target.failureDomain)) return 'evacuated';
  if (target.health.reachability !== 'reachable') return target.health.reachability;
  if (target.directives.pauseLeftMs(nowMs) > 0) return 'paused';
  if (target.directives.rateLimiter.requestsPerS !== undefined) return 'limited';
  return target.isCold(nowMs) ? 'cold' : 'usable';
}

/** Counts the targets of each service by state. */
export function countTargets(
  targets: Iterable<Target>,
  evacuations: EvacuationView,
  nowMs: number,
): readonly TargetCount[] {
  const counts = new Map<string, TargetCount>();
  for (const target of targets) {
    const {service} = target;
    const state = targetState(target, evacuations, nowMs);
    const key = `${service} ${state}`;
    counts.set(key, {service, state, count: (counts.get(key)?.count ?? 0) + 1});
  }
  return [...counts.values()];
}
