/** Drives entries against fake targets in virtual time. */
import type {Configuration, ConfirmedIntent, Member} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';
import type {Assignment, AttemptResult} from '../src';
import {BaselinePolicy} from './baseline_policies';
import type {BenchService, Deployment} from './bench_deployments';
import {capacityPerS} from './bench_deployments';
import type {BenchFigures} from './bench_metrics';
import {BenchMetrics} from './bench_metrics';
import type {FakeTarget, TargetFault} from './bench_targets';
import {groupByPool, makeFakeTargets} from './bench_targets';
import type {BenchEntry, BenchOptions, BenchRequest} from './bench_types';
import {EntryGroup, EventLoop} from './entry_group';

/** Time after which an attempt to connect to a silent target ends. */
const connectTimeoutMs = 300;
const probeIntervalMs = 2000;
const longestAttempts = 3;
/** Longest time until the others have heard from one entry that a target is leaving: gossip runs every second. */
const leavingNewsMs = 1000;
/** Time until an unreachable instance is out of the members' view: see the design page, 4.8. */
const membershipDelayMs = 6000;

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
  private load: number;
  private reportsArrive: boolean;

  constructor(
    private readonly deployment: Deployment,
    private readonly options: BenchOptions,
  ) {
    this.random = seededRandom(options.seed);
    this.arrivals = seededRandom(options.seed + 1000);
    this.startMs = this.loop.nowMs();
    this.load = options.load;
    this.reportsArrive = options.reports === 'late';
    this.targets = makeFakeTargets(deployment, options.faults, this.random);
    this.targetsById = new Map(this.targets.map(entry => [entry.target.id, entry]));
    this.pools = groupByPool(this.targets);
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

  /** Sets the offered load against the capacity, above 0. */
  setLoad(load: number): void {
    this.load = load;
  }

  /** Stops the reports of the targets, or lets them arrive again. */
  setReportsArrive(arrive: boolean): void {
    this.reportsArrive = arrive;
  }

  /** Changes how a target misbehaves. */
  setFault(targetId: string, fault: TargetFault): void {
    this.fakeOf(targetId).fault = fault;
  }

  /** Lets a target leave: it says so in probes and answers, and still serves what arrives. */
  leave(targetId: string): void {
    this.fakeOf(targetId).leavingSinceMs = this.loop.nowMs();
  }

  /** Time from the moment when a target began to leave to the last new request that reached it. */
  lastWorkAfterLeavingMs(targetId: string): number {
    return this.fakeOf(targetId).lastWorkAfterLeavingMs;
  }

  /** Position of an entry in the order of the members. Throws for an id that is not known. */
  entryIndex(entryId: string): number {
    const index = this.benches.findIndex(({entry}) => entry.id === entryId);
    if (index < 0) throw new Error(`no entry "${entryId}"`);
    return index;
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

  private fakeOf(targetId: string): FakeTarget {
    const fake = this.targetsById.get(targetId);
    if (fake === undefined) throw new Error(`no target "${targetId}"`);
    return fake;
  }

  private oneWayMs(fromRegionId: string, toRegionId: string): number {
    const {withinRegionMs, betweenRegionsMs} = this.deployment;
    return fromRegionId === toRegionId ? withinRegionMs : betweenRegionsMs;
  }

  private scheduleAll(): void {
    this.every(50, () => this.benches.forEach(bench => bench.policy.tick()));
    this.every(1000, () => this.everySecond());
    this.every(100, () => this.pools.forEach(pool => this.metrics.sampleRegion(pool)));
    this.every(probeIntervalMs, () => this.probeTargets());
    const wanted = this.options.serviceIds;
    for (const service of this.deployment.services) {
      if (wanted !== undefined && !wanted.includes(service.id)) continue;
      this.deployment.regionIds.forEach((regionId, index) => {
        const capacity = capacityPerS(service, service.endpoints[index] ?? 0);
        this.scheduleArrivals(service, regionId, 1000 / capacity);
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
      const offeredPerS = capacityPerS(service, endpoints) * this.load;
      const slots = this.targets
        .filter(fake => fake.target.serviceId === service.id)
        .reduce((sum, fake) => sum + fake.usableSlots, 0);
      this.metrics.possible += Math.min(offeredPerS, (slots * 1000) / service.serviceMs);
    }
  }

  /** Reports reach each entry 5 to 10 s after the probe; that a target is leaving is told at once. */
  private probeTargets(): void {
    for (const fake of this.targets) if (fake.alive && fake.isLeaving) this.tellLeaving(fake);
    if (!this.reportsArrive) return;
    const reports = this.targets.map(fake => fake.probe(this.loop.nowMs()));
    for (const bench of this.benches) {
      this.loop.after(5000 + this.random.next() * 5000, () => {
        if (bench.cutOffAtMs === undefined) bench.policy.updateReports(reports);
      });
    }
  }

  private tellLeaving(fake: FakeTarget): void {
    for (const bench of this.benches) {
      this.loop.after(this.random.next() * leavingNewsMs, () => {
        if (bench.cutOffAtMs === undefined) bench.policy.markLeaving(fake.target.id);
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

  private scheduleArrivals(service: BenchService, regionId: string, fullLoadMeanMs: number): void {
    const meanMs = fullLoadMeanMs / this.load;
    this.loop.after(-Math.log(1 - this.arrivals.next()) * meanMs, () => {
      this.startRequest(service, regionId);
      this.scheduleArrivals(service, regionId, fullLoadMeanMs);
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

  /** Moves while a region is lost or returns are not shifts of an operator. */
  private countsMoves(): boolean {
    return this.lostRegions.size === 0 && this.loop.nowMs() >= this.moveCountedFromMs;
  }

  private attempt(request: BenchRequest): void {
    const {service, callerRegionId, trafficClass, deadlineMs, bench, excludedTargetIds} = request;
    request.attempts += 1;
    if (this.countsMoves()) {
      this.metrics.countRequest(bench.entry.id, service.id, callerRegionId);
    }
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
    if (this.countsMoves()) {
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
    if (result === 'answered' && fake.isLeaving) request.bench.policy.markLeaving(fake.target.id);
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
