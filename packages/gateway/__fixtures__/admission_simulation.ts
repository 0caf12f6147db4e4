/**
 * Simulation of several gateways that share the targets of one service, with requests of different ranks and workspaces. It uses
 * the real placement and admission, in simulated time. Unlike `service_simulation.ts` it has no objects and caches, and
 * several kinds of requests.
 */
import {RegionalShare} from '../src/regional_shares';
import type {RandomSource} from '@cuminsill/utils';
import {EventQueue, seededRandom} from '@cuminsill/utils';
import {ServiceAdmission} from '../src/admission';
import {RoundTripTimes} from '../src/targets/round_trip_times';
import type {Placement} from '../src/targets/placement';
import {placeRequest} from '../src/targets/placement';
import {ServiceTimeEstimator} from '../src/targets/service_time_estimator';
import {Target} from '../src/targets/target';
import {targetRecord} from './test_records';

/** One kind of requests; its rank is its index. */
export interface RequestKind {
  readonly fractionOfWork: number;
  readonly serviceTimeMs: number;
  readonly targetLatencyMs: number;
}

/** Load to simulate. */
export interface AdmissionLoad {
  readonly seed: number;
  readonly gateways: number;
  readonly targets: number;
  readonly slots: number;
  readonly queueLength: number;
  /** Offered work as a multiple of the capacity. */
  readonly loadRatio: number;
  readonly durationMs: number;
  /** Requests that arrive before this time do not count. */
  readonly warmUpMs: number;
  readonly deadlineMs: number;
  readonly kinds: readonly RequestKind[];
  /** Relative demand of each workspace, in every kind. */
  readonly workspaceSizes: readonly number[];
  /** How often, and after what time whatever `Retry-After` says, a refused caller comes back. */
  readonly returns: {readonly count: number; readonly afterMs: number};
}

/** Requests of a kind or workspace; one that comes back is the same request. */
export interface ServedCount {
  asked: number;
  /** Answered before the deadline of its last return. */
  served: number;
  inTime: number;
}

/** Results of a simulation. */
export interface AdmissionOutcome {
  readonly byKind: readonly ServedCount[];
  readonly byWorkspace: readonly ServedCount[];
  /** Service time of answered requests, as a fraction of what the slots can do. */
  readonly goodput: number;
  readonly refusalsByReason: Readonly<Record<string, number>>;
}

interface SimulatedGateway {
  readonly name: string;
  readonly targets: readonly Target[];
  readonly admission: ServiceAdmission;
  readonly serviceTime: ServiceTimeEstimator;
}

interface SimulatedRequest {
  readonly rank: number;
  readonly kind: RequestKind;
  readonly workspace: number;
  readonly gateway: SimulatedGateway;
  readonly counts: readonly ServedCount[];
  readonly isCounted: boolean;
}

interface Attempt {
  readonly request: SimulatedRequest;
  readonly placement: Placement;
  readonly startedAtMs: number;
  readonly returnsLeft: number;
}

interface SimulatedTarget {
  readonly queue: Attempt[];
  running: number;
}

const networkDelayMs = 1;
const serviceTimeSpread = 0.3;

/** Simulates the load and returns the results. */
export function simulateAdmission(load: AdmissionLoad): AdmissionOutcome {
  return new AdmissionSimulation(load).run();
}

class AdmissionSimulation {
  private readonly random: RandomSource;
  private readonly events = new EventQueue();
  private readonly roundTripTimes = new RoundTripTimes('d0', new Map([['d0', 'r0']]));
  private readonly targets = new Map<string, SimulatedTarget>();
  private readonly gateways: readonly SimulatedGateway[];
  private readonly byKind: readonly ServedCount[];
  private readonly byWorkspace: readonly ServedCount[];
  private readonly refusalsByReason: Record<string, number> = {};
  private servedWorkMs = 0;

  constructor(private readonly load: AdmissionLoad) {
    this.random = seededRandom(load.seed);
    this.roundTripTimes.observe('d0', 2 * networkDelayMs);
    this.byKind = load.kinds.map(() => ({asked: 0, served: 0, inTime: 0}));
    this.byWorkspace = load.workspaceSizes.map(() => ({asked: 0, served: 0, inTime: 0}));
    const records = Array.from({length: load.targets}, (_value, index) =>
      targetRecord({id: `t${index}`, failureDomain: 'd0', slots: load.slots}),
    );
    for (const {id} of records) this.targets.set(id, {queue: [], running: 0});
    this.gateways = Array.from({length: load.gateways}, (_value, index) => ({
      name: `g${index}`,
      targets: records.map(record => new Target(record, 'r0', 0)),
      admission: new ServiceAdmission(),
      serviceTime: new ServiceTimeEstimator(),
    }));
  }

  run(): AdmissionOutcome {
    const {kinds, targets, slots, loadRatio, durationMs, warmUpMs} = this.load;
    kinds.forEach((kind, rank) => {
      const requestsPerMs =
        (loadRatio * kind.fractionOfWork * targets * slots) / kind.serviceTimeMs;
      this.scheduleArrivals(rank, kind, 1 / requestsPerMs);
    });
    this.events.runUntil();
    return {
      byKind: this.byKind,
      byWorkspace: this.byWorkspace,
      goodput: this.servedWorkMs / ((durationMs - warmUpMs) * targets * slots),
      refusalsByReason: this.refusalsByReason,
    };
  }

  private scheduleArrivals(rank: number, kind: RequestKind, meanGapMs: number): void {
    const gapMs = -Math.log(1 - this.random.next()) * meanGapMs;
    if (this.events.nowMs + gapMs >= this.load.durationMs) return;
    this.events.schedule(gapMs, () => {
      this.startRequest(rank, kind);
      this.scheduleArrivals(rank, kind, meanGapMs);
    });
  }

  private startRequest(rank: number, kind: RequestKind): void {
    const workspace = this.chooseWorkspace();
    const gateway = this.gateways[Math.floor(this.random.next() * this.gateways.length)];
    const ofKind = this.byKind[rank];
    const ofWorkspace = this.byWorkspace[workspace];
    if (gateway === undefined || ofKind === undefined || ofWorkspace === undefined) return;
    const isCounted = this.events.nowMs >= this.load.warmUpMs;
    const counts = isCounted ? [ofKind, ofWorkspace] : [];
    for (const count of counts) count.asked += 1;
    this.send({rank, kind, workspace, gateway, counts, isCounted}, this.load.returns.count);
  }

  private chooseWorkspace(): number {
    const {workspaceSizes} = this.load;
    let left = this.random.next() * workspaceSizes.reduce((sum, size) => sum + size, 0);
    return Math.max(
      0,
      workspaceSizes.findIndex(size => (left -= size) < 0),
    );
  }

  private send(request: SimulatedRequest, returnsLeft: number): void {
    const placement = this.place(request);
    if (placement === undefined || !this.isAdmitted(request, placement)) {
      this.comeBack(request, returnsLeft);
      return;
    }
    placement.target.load.recordStart();
    const attempt = {request, placement, startedAtMs: this.events.nowMs, returnsLeft};
    this.events.schedule(networkDelayMs, () => this.onArrivalAtTarget(attempt));
  }

  private isAdmitted(
    {gateway, kind, rank, workspace}: SimulatedRequest,
    placement: Placement,
  ): boolean {
    const {expectedMs, waitMs, target} = placement;
    const minExpectedMs = this.roundTripTimes.expectedMs('d0') + gateway.serviceTime.minMs();
    const isSlow = target.health.isSlow(this.events.nowMs);
    const admission = gateway.admission.decide(
      {
        rankOrder: rank,
        workspace: `w${workspace}`,
        input: {
          expectedMs,
          minExpectedMs: isSlow ? expectedMs : minExpectedMs,
          waitMs,
          remainingMs: this.load.deadlineMs,
          latencyBudgetMs: kind.targetLatencyMs,
          priority: rank,
          jitter: this.random.next(),
        },
      },
      this.events.nowMs,
    );
    if (admission.kind === 'send') return true;
    const {reason} = admission;
    this.refusalsByReason[reason] = (this.refusalsByReason[reason] ?? 0) + 1;
    return false;
  }

  private comeBack(request: SimulatedRequest, returnsLeft: number): void {
    if (returnsLeft === 0) return;
    this.events.schedule(this.load.returns.afterMs, () => this.send(request, returnsLeft - 1));
  }

  private place({gateway}: SimulatedRequest): Placement | undefined {
    // Placement takes the first of equal targets; without a change of their order all gateways would choose the same one.
    const first = Math.floor(this.random.next() * gateway.targets.length);
    const targets = [...gateway.targets.slice(first), ...gateway.targets.slice(0, first)];
    return placeRequest(
      {
        objectKey: undefined,
        homeRegions: [],
        bodyBytes: 0,
        attemptedTargetIds: new Set(),
        latencyObjectiveMs: 1_000,
      },
      targets,
      {
        nowMs: this.events.nowMs,
        ownName: gateway.name,
        ownRegion: 'r0',
        ownCallerFraction: 1,
        gatewayNames: [],
        senderNames: [],
        evacuatedDomains: new Set(),
        coldLimit: {requestsPerS: 10},
        serviceTime: gateway.serviceTime,
        regionalShare: new RegionalShare(),
        roundTripTimes: this.roundTripTimes,
      },
    );
  }

  private onArrivalAtTarget(attempt: Attempt): void {
    const server = this.targetOf(attempt);
    if (server.queue.length >= this.load.queueLength) {
      this.answer(attempt, server, false);
      return;
    }
    server.queue.push(attempt);
    this.startNext(server);
  }

  private startNext(server: SimulatedTarget): void {
    if (server.running >= this.load.slots) return;
    const attempt = server.queue.shift();
    if (attempt === undefined) return;
    server.running += 1;
    const spread = 1 + serviceTimeSpread * (2 * this.random.next() - 1);
    const serviceTimeMs = attempt.request.kind.serviceTimeMs * spread;
    this.events.schedule(serviceTimeMs, () => {
      server.running -= 1;
      if (attempt.request.isCounted) this.servedWorkMs += serviceTimeMs;
      this.answer(attempt, server, true);
      this.startNext(server);
    });
  }

  private answer(attempt: Attempt, server: SimulatedTarget, wasRun: boolean): void {
    const load = {running: server.running, waiting: server.queue.length, slots: this.load.slots};
    this.events.schedule(networkDelayMs, () => {
      const {target} = attempt.placement;
      target.load.recordReport(load, this.events.nowMs);
      target.load.recordEnd();
      if (wasRun) this.onAnswer(attempt, load.waiting);
      else this.comeBack(attempt.request, attempt.returnsLeft);
    });
  }

  private onAnswer({request, placement, startedAtMs}: Attempt, waiting: number): void {
    const {gateway, kind, counts} = request;
    const elapsedMs = this.events.nowMs - startedAtMs;
    const serviceTimeMs = Math.max(0, elapsedMs - 2 * networkDelayMs - placement.waitMs);
    gateway.serviceTime.recordAnswer(serviceTimeMs);
    gateway.serviceTime.observe(serviceTimeMs, waiting > 0 || placement.waitMs > 0);
    for (const count of counts) {
      if (elapsedMs <= this.load.deadlineMs) count.served += 1;
      if (elapsedMs <= kind.targetLatencyMs) count.inTime += 1;
    }
  }

  private targetOf({placement}: Attempt): SimulatedTarget {
    const server = this.targets.get(placement.target.id);
    if (server === undefined) throw new Error(`no target ${placement.target.id}`);
    return server;
  }
}
