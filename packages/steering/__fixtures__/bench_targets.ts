/** Fake targets of the bench: slots, service time, shedding, cold start and misleading behaviour. */
import type {Target, TargetReport} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import type {Deployment} from './bench_deployments';

/** How a target misbehaves. */
export type TargetFault =
  | 'none'
  /** Answers an error within 2 ms and reports that it is idle. */
  | 'fails-fast'
  /** Has one slot left for this system and reports that it is idle. */
  | 'full-but-idle';

/** What a target does with a request that arrives. */
export type TargetReply =
  | {readonly kind: 'silent'}
  | {readonly kind: 'shed'; readonly afterMs: number}
  | {readonly kind: 'failed'; readonly afterMs: number}
  | {readonly kind: 'runs'; readonly afterMs: number};

/** A target that starts is this many times slower at first, and warm after `coldMs`. */
const coldSlowdown = 4;
const coldMs = 20_000;

/** One fake target. */
export class FakeTarget {
  isAlive = true;
  runningCount = 0;
  peakRunningCount = 0;
  /** Requests that entries have sent and not yet released. */
  inFlight = 0;
  peakInFlight = 0;
  /** Set when the target begins to leave. */
  leavingSinceMs: number | undefined;
  /** Time from then to the last request that arrived. */
  lastWorkAfterLeavingMs = 0;
  private startedAtMs = -Infinity;

  constructor(
    readonly target: Target,
    private readonly serviceMs: number,
    public fault: TargetFault,
    private readonly random: RandomSource,
  ) {}

  /** Slots that requests can really use. */
  get usableSlots(): number {
    if (!this.isAlive || this.fault === 'fails-fast') return 0;
    return this.fault === 'full-but-idle' ? 1 : this.target.slots;
  }

  /** True while the target says that it is leaving. */
  get isLeaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  /** Starts again with a cold cache. */
  restart(nowMs: number): void {
    this.isAlive = true;
    this.runningCount = 0;
    this.startedAtMs = nowMs;
  }

  /** Decides about a request; one that runs must be ended by `finish`. */
  arrive(nowMs: number): TargetReply {
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
    // Between half and one and a half times the mean.
    return {kind: 'runs', afterMs: this.serviceMs * slowdown * (0.5 + this.random.next())};
  }

  /** Ends a request that ran. */
  finish(): void {
    this.runningCount = Math.max(0, this.runningCount - 1);
  }

  /** What a probe would see; undefined when nothing answers. */
  probe(nowMs: number): TargetReport {
    return {
      targetId: this.target.id,
      health: !this.isAlive ? 'failing' : this.isLeaving ? 'leaving' : 'healthy',
      reportedInFlight: this.fault === 'none' ? this.runningCount : 0,
      observedAtMs: nowMs,
    };
  }
}

/** One fake target for each target of a deployment; with faults, two targets of the first service misbehave. */
export function makeFakeTargets(
  deployment: Deployment,
  faults: boolean,
  random: RandomSource,
): readonly FakeTarget[] {
  const services = new Map(deployment.services.map(service => [service.id, service]));
  const faultyServiceId = deployment.services[0]?.id;
  return deployment.catalog.targets.map(target => {
    let fault: TargetFault = 'none';
    if (faults && target.serviceId === faultyServiceId) {
      if (target.id.endsWith(`${deployment.regionIds[0]}-0`)) fault = 'fails-fast';
      if (target.id.endsWith(`${deployment.regionIds[1]}-0`)) fault = 'full-but-idle';
    }
    return new FakeTarget(target, services.get(target.serviceId)?.serviceMs ?? 100, fault, random);
  });
}

/** Targets of one service in one region. */
export function groupByPool(targets: readonly FakeTarget[]): readonly (readonly FakeTarget[])[] {
  const pools = new Map<string, FakeTarget[]>();
  for (const fake of targets) {
    const key = JSON.stringify([fake.target.serviceId, fake.target.regionId]);
    pools.set(key, [...(pools.get(key) ?? []), fake]);
  }
  return [...pools.values()];
}
