/** Fake targets with limited slots, a service time, a cold start and faults. */
import type {Target, TargetReport} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import type {Deployment} from './bench_deployments';

/** Fault of a target. */
export type TargetFault =
  | 'none'
  /** Answers each request with an error after 2 ms and reports that it is idle. */
  | 'fails-fast'
  /** Leaves only one slot to this system and reports that it is idle. */
  | 'full-but-idle';

/** Reaction of a target to a request. */
export type TargetReply =
  | {readonly kind: 'silent'}
  | {readonly kind: 'shed'; readonly afterMs: number}
  | {readonly kind: 'failed'; readonly afterMs: number}
  | {readonly kind: 'runs'; readonly afterMs: number};

/** A target that has just started is this many times slower; the slowdown falls linearly to none within `coldMs`. */
const coldSlowdown = 4;
const coldMs = 20_000;

/** A fake target. */
export class FakeTarget {
  isAlive = true;
  runningCount = 0;
  peakRunningCount = 0;
  /** Requests that entries have sent to the target and not released yet. */
  inFlight = 0;
  peakInFlight = 0;
  /** Time at which the target began to leave. */
  leavingSinceMs: number | undefined;
  /** Time from the beginning of leaving to the last request that arrived. */
  lastWorkAfterLeavingMs = 0;
  private startedAtMs = -Infinity;

  constructor(
    readonly target: Target,
    private readonly serviceMs: number,
    public fault: TargetFault,
    private readonly random: RandomSource,
  ) {}

  /** Number of slots that serve requests, which differs from the configured number during a fault. */
  get usableSlots(): number {
    if (!this.isAlive || this.fault === 'fails-fast') return 0;
    return this.fault === 'full-but-idle' ? 1 : this.target.slots;
  }

  /** True while the target announces that it is leaving. */
  get isLeaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  /** Restarts the target with a cold cache. */
  restart(nowMs: number): void {
    this.isAlive = true;
    this.runningCount = 0;
    this.startedAtMs = nowMs;
  }

  /** Accepts, rejects or fails a request. The caller ends a request that runs with {@link finish}. */
  handleRequest(nowMs: number): TargetReply {
    if (!this.isAlive) return {kind: 'silent'};
    if (this.leavingSinceMs !== undefined) {
      this.lastWorkAfterLeavingMs = nowMs - this.leavingSinceMs;
    }
    if (this.fault === 'fails-fast') return {kind: 'failed', afterMs: 2};
    if (this.runningCount >= this.usableSlots) return {kind: 'shed', afterMs: 1};
    this.runningCount += 1;
    this.peakRunningCount = Math.max(this.peakRunningCount, this.runningCount);
    const coldness = Math.max(0, 1 - (nowMs - this.startedAtMs) / coldMs);
    const slowdown = 1 + (coldSlowdown - 1) * coldness;
    // The service time is uniform between half and one and a half times the mean.
    return {kind: 'runs', afterMs: this.serviceMs * slowdown * (0.5 + this.random.next())};
  }

  /** Ends a request that runs. */
  finish(): void {
    this.runningCount = Math.max(0, this.runningCount - 1);
  }

  /** The report that a probe of the target yields. */
  probe(nowMs: number): TargetReport {
    return {
      targetId: this.target.id,
      health: !this.isAlive ? 'failing' : this.isLeaving ? 'leaving' : 'healthy',
      reportedInFlight: this.fault === 'none' ? this.runningCount : 0,
      observedAtMs: nowMs,
    };
  }
}

/** Makes a fake target for each target of a deployment. With faults, two targets of the first service misbehave. */
export function makeFakeTargets(
  deployment: Deployment,
  hasFaults: boolean,
  random: RandomSource,
): readonly FakeTarget[] {
  const services = new Map(deployment.services.map(service => [service.id, service]));
  const faultyServiceId = deployment.services[0]?.id;
  return deployment.catalog.targets.map(target => {
    let fault: TargetFault = 'none';
    if (hasFaults && target.serviceId === faultyServiceId) {
      if (target.id.endsWith(`${deployment.regionIds[0]}-0`)) fault = 'fails-fast';
      if (target.id.endsWith(`${deployment.regionIds[1]}-0`)) fault = 'full-but-idle';
    }
    return new FakeTarget(target, services.get(target.serviceId)?.serviceMs ?? 100, fault, random);
  });
}

/** Groups the targets by service and region. */
export function groupByPool(targets: readonly FakeTarget[]): readonly (readonly FakeTarget[])[] {
  const pools = new Map<string, FakeTarget[]>();
  for (const fake of targets) {
    const key = JSON.stringify([fake.target.serviceId, fake.target.regionId]);
    pools.set(key, [...(pools.get(key) ?? []), fake]);
  }
  return [...pools.values()];
}
