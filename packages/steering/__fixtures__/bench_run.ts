/** Drives entries against fake targets in virtual time. */
import type {Configuration, ConfirmedIntent, Member, TrafficClass} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';
import type {Assignment, AttemptResult} from '../src';
import type {BaselineName, BenchPolicy} from './baseline_policies';
import {BaselinePolicy} from './baseline_policies';
import type {BenchService, Deployment} from './bench_deployments';
import {capacityPerS} from './bench_deployments';
import type {BenchFigures} from './bench_metrics';
import {BenchMetrics} from './bench_metrics';
import type {TargetFault} from './bench_targets';
import {FakeTarget} from './bench_targets';
import type {GroupEntry} from './entry_group';
import {EntryGroup, EventLoop} from './entry_group';

/** Time after which an attempt to connect to a silent target ends. */
const connectTimeoutMs = 300;
const probeIntervalMs = 2000;
const longestAttempts = 3;
/** Time until an unreachable instance is out of the members' view: see the design page, 4.8. */
const membershipDelayMs = 6000;

/** The policy to measure. */
export type PolicyName = 'steering' | BaselineName;

/** Settings of one run. */
export interface BenchOptions {
  readonly policy: PolicyName;
  /** Offered load against the capacity. */
  readonly load: number;
  readonly serviceIds?: readonly string[];
  readonly reports: 'late' | 'stopped';
  readonly faults: boolean;
  readonly seed: number;
}

interface BenchEntry {
  readonly entry: GroupEntry;
  readonly policy: BenchPolicy;
  alive: boolean;
  cutOffAtMs?: number;
}

interface BenchRequest {
  readonly service: BenchService;
  readonly callerRegionId: string;
  readonly trafficClass: TrafficClass;
  readonly startedAtMs: number;
  readonly deadlineMs: number;
  readonly bench: BenchEntry;
  attempts: number;
  readonly excludedTargetIds: string[];
}

/** One run of the bench. */
export class BenchRun {
  readonly loop = new EventLoop();
  readonly metrics = new BenchMetrics();
  private readonly targets: readonly FakeTarget[];
  private readonly targetsById: ReadonlyMap<string, FakeTarget>;
  private readonly pools: readonly (readonly FakeTarget[])[];
  private readonly benches: readonly BenchEntry[];
  private readonly random: RandomSource;
  /** Separate, so that every policy gets the same arrivals. */
  private readonly arrivals: RandomSource;
  private readonly startMs: number;
  private readonly lostRegions = new Set<string>();
  private moveCountedFromMs = 0;
  private configuration: Configuration;
  private nextEntry = 0;

  constructor(
    private readonly deployment: Deployment,
    private readonly options: BenchOptions,
  ) {
    this.random = seededRandom(options.seed);
    this.arrivals = seededRandom(options.seed + 1000);
    this.startMs = this.loop.nowMs();
    this.targets = this.makeTargets();
    this.targetsById = new Map(this.targets.map(entry => [entry.target.id, entry]));
    this.pools = this.groupTargets();
    this.configuration = {version: 1, catalog: deployment.catalog, intents: []};
    const group = new EntryGroup(this.loop, deployment.members, {
      delayMs: (from, to) => this.oneWayMs(from, to),
      lostShare: 0,
      repeatedShare: 0,
      largestClockOffsetMs: 0,
      seed: options.seed,
    });
    this.benches = group.entries.map((entry, index) => ({
      entry,
      policy:
        options.policy === 'steering'
          ? entry.steering
          : new BaselinePolicy(options.policy, options.seed + index),
      alive: true,
    }));
    for (const {policy} of this.benches) {
      policy.updateConfiguration(this.configuration);
      policy.updateMembers(deployment.members);
    }
    this.scheduleAll();
  }

  /** Runs for a time and returns the figures. */
  run(durationS: number): BenchFigures {
    this.loop.runUntil(this.startMs + durationS * 1000);
    return this.metrics.figures(this.targets);
  }

  /** Schedules something at a time after the start. */
  at(timeS: number, run: () => void): void {
    this.loop.after(timeS * 1000, run);
  }

  /** Adopts intents at every entry that is not cut off, one after another within 5 s. */
  setIntents(intents: readonly ConfirmedIntent[]): void {
    const version = this.configuration.version + 1;
    this.configuration = {...this.configuration, version, intents};
    const adopted = this.configuration;
    for (const bench of this.benches) {
      this.loop.after(this.random.next() * 5000, () => {
        if (bench.cutOffAtMs === undefined) bench.policy.updateConfiguration(adopted);
      });
    }
  }

  /** Loses a region with its entries and targets. */
  loseRegion(regionId: string): void {
    this.lostRegions.add(regionId);
    for (const fake of this.targets) {
      if (fake.target.regionId === regionId) fake.alive = false;
    }
    for (const bench of this.benches) {
      if (bench.entry.regionId !== regionId) continue;
      bench.alive = false;
      bench.entry.connected = false;
    }
    this.loop.after(membershipDelayMs, () => this.updateMembers());
  }

  /** Brings a region back with cold targets. Its entries keep their state, as after a cut of all links. */
  returnRegion(regionId: string): void {
    this.lostRegions.delete(regionId);
    for (const fake of this.targets) {
      if (fake.target.regionId === regionId) fake.restart(this.loop.nowMs());
    }
    for (const bench of this.benches) {
      if (bench.entry.regionId !== regionId) continue;
      bench.alive = true;
      bench.entry.connected = true;
    }
    this.moveCountedFromMs = this.loop.nowMs() + 120_000;
    this.loop.after(membershipDelayMs, () => this.updateMembers());
  }

  /** Cuts one entry off from its peers and from new configurations; it still serves callers. */
  cutOff(index: number): void {
    const bench = this.benches[index];
    if (bench === undefined) return;
    bench.cutOffAtMs = this.loop.nowMs();
    bench.entry.connected = false;
    this.loop.after(membershipDelayMs, () => this.updateMembers());
  }

  /** Ends the cut. */
  reconnect(index: number): void {
    const bench = this.benches[index];
    if (bench === undefined) return;
    bench.cutOffAtMs = undefined;
    bench.entry.connected = true;
    bench.policy.updateContactAge(0);
    bench.policy.updateConfiguration(this.configuration);
    this.updateMembers();
  }

  private makeTargets(): readonly FakeTarget[] {
    const services = new Map(this.deployment.services.map(service => [service.id, service]));
    const first = this.deployment.services[0]?.id;
    return this.deployment.catalog.targets.map(target => {
      let fault: TargetFault = 'none';
      if (this.options.faults && target.serviceId === first) {
        if (target.id.endsWith(`${this.deployment.regionIds[0]}-0`)) fault = 'fails-fast';
        if (target.id.endsWith(`${this.deployment.regionIds[1]}-0`)) fault = 'full-but-idle';
      }
      const serviceMs = services.get(target.serviceId)?.serviceMs ?? 100;
      return new FakeTarget(target, serviceMs, fault, this.random);
    });
  }

  private groupTargets(): readonly (readonly FakeTarget[])[] {
    const pools = new Map<string, FakeTarget[]>();
    for (const fake of this.targets) {
      const key = JSON.stringify([fake.target.serviceId, fake.target.regionId]);
      pools.set(key, [...(pools.get(key) ?? []), fake]);
    }
    return [...pools.values()];
  }

  private oneWayMs(fromRegionId: string, toRegionId: string): number {
    const {withinRegionMs, betweenRegionsMs} = this.deployment;
    return fromRegionId === toRegionId ? withinRegionMs : betweenRegionsMs;
  }

  private scheduleAll(): void {
    this.every(50, () => this.benches.forEach(bench => bench.policy.tick()));
    this.every(1000, () => this.everySecond());
    this.every(100, () => this.pools.forEach(pool => this.metrics.sampleRegion(pool)));
    if (this.options.reports === 'late') this.every(probeIntervalMs, () => this.probeTargets());
    const wanted = this.options.serviceIds;
    for (const service of this.deployment.services) {
      if (wanted !== undefined && !wanted.includes(service.id)) continue;
      this.deployment.regionIds.forEach((regionId, index) => {
        const capacity = capacityPerS(service, service.endpoints[index] ?? 0);
        this.scheduleArrivals(service, regionId, 1000 / (capacity * this.options.load));
      });
    }
  }

  private every(intervalMs: number, run: () => void): void {
    this.loop.after(intervalMs, () => {
      run();
      this.every(intervalMs, run);
    });
  }

  private everySecond(): void {
    for (const {entry, policy, cutOffAtMs} of this.benches) {
      this.metrics.beginSecond(entry.id, policy.appliedShares());
      policy.updateContactAge(cutOffAtMs === undefined ? 0 : this.loop.nowMs() - cutOffAtMs);
    }
    for (const service of this.deployment.services) {
      if (this.options.serviceIds?.includes(service.id) === false) continue;
      const endpoints = service.endpoints.reduce((sum, count) => sum + count, 0);
      const offeredPerS = capacityPerS(service, endpoints) * this.options.load;
      const slots = this.targets
        .filter(fake => fake.target.serviceId === service.id)
        .reduce((sum, fake) => sum + fake.usableSlots, 0);
      this.metrics.possible += Math.min(offeredPerS, (slots * 1000) / service.serviceMs);
    }
  }

  /** Reports reach each entry 5 to 10 s after the probe. */
  private probeTargets(): void {
    const reports = this.targets.map(fake => fake.probe(this.loop.nowMs()));
    for (const bench of this.benches) {
      this.loop.after(5000 + this.random.next() * 5000, () => {
        if (bench.cutOffAtMs === undefined) bench.policy.updateReports(reports);
      });
    }
  }

  private updateMembers(): void {
    const stateOf = (bench: BenchEntry): Member['reachability'] =>
      bench.entry.connected ? 'reachable' : 'unreachable';
    for (const viewer of this.benches) {
      if (!viewer.alive) continue;
      const view = this.benches.map((bench, index) => ({
        ...(this.deployment.members[index] as Member),
        reachability:
          bench === viewer ? 'reachable' : viewer.entry.connected ? stateOf(bench) : 'unreachable',
      }));
      viewer.policy.updateMembers(view as readonly Member[]);
    }
  }

  private scheduleArrivals(service: BenchService, regionId: string, meanMs: number): void {
    this.loop.after(-Math.log(1 - this.arrivals.next()) * meanMs, () => {
      this.startRequest(service, regionId);
      this.scheduleArrivals(service, regionId, meanMs);
    });
  }

  private startRequest(service: BenchService, callerRegionId: string): void {
    const isBatch = this.arrivals.next() < service.batchShare;
    const trafficClass = isBatch ? 'batch' : service.trafficClass;
    this.metrics.countOffered(trafficClass);
    const alive = this.benches.filter(bench => bench.alive);
    const local = alive.filter(bench => bench.entry.regionId === callerRegionId);
    const candidates = local.length > 0 ? local : alive;
    this.nextEntry += 1;
    const bench = candidates[this.nextEntry % Math.max(1, candidates.length)];
    if (bench === undefined) return;
    const startedAtMs = this.loop.nowMs();
    this.attempt({
      service,
      callerRegionId,
      trafficClass,
      startedAtMs,
      deadlineMs: startedAtMs + service.timeoutMs,
      bench,
      attempts: 0,
      excludedTargetIds: [],
    });
  }

  private attempt(request: BenchRequest): void {
    const {service, callerRegionId, trafficClass, deadlineMs, bench, excludedTargetIds} = request;
    request.attempts += 1;
    bench.policy.assign(
      {serviceId: service.id, callerRegionId, trafficClass, deadlineMs, excludedTargetIds},
      result => {
        if (!('slotId' in result)) this.metrics.countRefusal(result.result.name);
        else this.send(request, result);
      },
    );
  }

  private send(request: BenchRequest, assignment: Assignment): void {
    const {bench, service, callerRegionId} = request;
    const {target} = assignment;
    const fake = this.targetsById.get(target.id);
    if (fake === undefined) return;
    this.metrics.attempts += 1;
    fake.sent += 1;
    fake.peakSent = Math.max(fake.peakSent, fake.sent);
    const lost = this.lostRegions.size > 0 || this.loop.nowMs() < this.moveCountedFromMs;
    if (!lost) {
      this.metrics.countMove(bench.entry.id, service.id, callerRegionId, target.regionId);
    }
    const sentAtMs = this.loop.nowMs();
    const oneWayMs = this.oneWayMs(bench.entry.regionId, target.regionId);
    this.loop.after(oneWayMs, () => this.arrive(request, assignment, fake, sentAtMs, oneWayMs));
  }

  private arrive(
    request: BenchRequest,
    assignment: Assignment,
    fake: FakeTarget,
    sentAtMs: number,
    oneWayMs: number,
  ): void {
    const nowMs = this.loop.nowMs();
    const reply = fake.arrive(nowMs);
    const end = (result: AttemptResult): void =>
      this.end(request, assignment, fake, result, sentAtMs);
    const leftMs = request.deadlineMs - nowMs;
    if (reply.kind === 'silent') {
      this.loop.after(Math.max(0, Math.min(leftMs, connectTimeoutMs)), () => end('connect-failed'));
    } else if (reply.kind !== 'runs') {
      this.loop.after(reply.afterMs + oneWayMs, () => end(reply.kind));
    } else if (reply.afterMs + oneWayMs > leftMs) {
      this.loop.after(Math.max(0, leftMs), () => end('timed-out'));
      this.loop.after(Math.max(0, Math.min(reply.afterMs, leftMs + oneWayMs)), () => fake.finish());
    } else {
      this.loop.after(reply.afterMs, () => {
        // A target that was lost or restarted meanwhile never answers.
        const lost = !fake.alive;
        fake.finish();
        this.loop.after(oneWayMs, () => end(lost ? 'connection-lost' : 'answered'));
      });
    }
  }

  private end(
    request: BenchRequest,
    assignment: Assignment,
    fake: FakeTarget,
    result: AttemptResult,
    sentAtMs: number,
  ): void {
    const nowMs = this.loop.nowMs();
    fake.sent -= 1;
    request.bench.policy.release(assignment, result, nowMs - sentAtMs);
    if (!request.bench.alive) return;
    if (result === 'answered') {
      this.metrics.countAnswer(request.trafficClass, nowMs - request.startedAtMs);
      return;
    }
    if (result === 'shed') this.metrics.shed += 1;
    else this.metrics.failed += 1;
    const again = result === 'shed' || result === 'failed' || result === 'connect-failed';
    if (!again || request.attempts >= longestAttempts) {
      this.metrics.countRefusal(`after-${result}`);
      return;
    }
    request.excludedTargetIds.push(assignment.target.id);
    this.attempt(request);
  }
}
