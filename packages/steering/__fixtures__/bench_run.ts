/** Runs entries against fake targets in virtual time and measures how well a steering policy does. */
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

/** Timeout of an attempt to connect to a target that does not answer. */
const connectTimeoutMs = 300;
const probeIntervalMs = 2000;
const maxAttempts = 3;
/** Longest time until every entry knows that a target is leaving; entries gossip every second. */
const maxLeavingGossipMs = 1000;
/** Time until the members see an instance as unreachable; see section 4.8 of the design page. */
const membershipDelayMs = 6000;

/** One run of the benchmark. */
export class BenchRun {
  readonly loop = new EventLoop();
  readonly metrics = new BenchMetrics();
  private readonly targets: readonly FakeTarget[];
  private readonly targetsById: ReadonlyMap<string, FakeTarget>;
  private readonly pools: readonly (readonly FakeTarget[])[];
  private readonly entries: readonly BenchEntry[];
  private readonly random: RandomSource;
  /** A generator of its own, so that every policy gets the same arrivals. */
  private readonly arrivalRandom: RandomSource;
  private readonly startMs: number;
  private readonly lostRegionIds = new Set<string>();
  private countMovesFromMs = 0;
  private configuration: Configuration;
  private entryCounter = 0;
  private load: number;
  private reportsArrive: boolean;

  constructor(
    private readonly deployment: Deployment,
    private readonly options: BenchOptions,
  ) {
    this.random = seededRandom(options.seed);
    this.arrivalRandom = seededRandom(options.seed + 1000);
    this.startMs = this.loop.nowMs();
    this.load = options.load;
    this.reportsArrive = options.reports === 'late';
    this.targets = makeFakeTargets(deployment, options.faults, this.random);
    this.targetsById = new Map(this.targets.map(fake => [fake.target.id, fake]));
    this.pools = groupByPool(this.targets);
    this.configuration = {version: 1, catalog: deployment.catalog, intents: []};
    const group = new EntryGroup(this.loop, deployment.members, {
      delayMs: (from, to) => this.oneWayMs(from, to),
      lossRate: 0,
      duplicateRate: 0,
      maxClockOffsetMs: 0,
      seed: options.seed,
    });
    this.entries = group.entries.map((groupEntry, index) => ({
      groupEntry,
      policy:
        options.policy === 'steering'
          ? groupEntry.steering
          : new BaselinePolicy(options.policy, options.seed + index),
      isAlive: true,
    }));
    for (const {policy} of this.entries) {
      policy.updateConfiguration(this.configuration);
      policy.updateMembers(deployment.members);
    }
    this.scheduleAll();
  }

  /** Sets the offered load as a fraction of the capacity; above 0. */
  setLoad(load: number): void {
    this.load = load;
  }

  /** Stops or resumes the delivery of target reports to the entries. */
  setReportsArrive(arrive: boolean): void {
    this.reportsArrive = arrive;
  }

  /** Changes how a target misbehaves. */
  setFault(targetId: string, fault: TargetFault): void {
    this.findFakeTarget(targetId).fault = fault;
  }

  /** Makes a target announce in probes and answers that it is leaving; it still serves the requests that arrive. */
  leave(targetId: string): void {
    this.findFakeTarget(targetId).leavingSinceMs = this.loop.nowMs();
  }

  /** Time from when a target began to leave until the last new request reached it. */
  lastWorkAfterLeavingMs(targetId: string): number {
    return this.findFakeTarget(targetId).lastWorkAfterLeavingMs;
  }

  /** Index of an entry in the list of members. Throws for an unknown id. */
  entryIndex(entryId: string): number {
    const index = this.entries.findIndex(({groupEntry}) => groupEntry.id === entryId);
    if (index < 0) throw new Error(`no entry "${entryId}"`);
    return index;
  }

  /** Runs until `durationS` seconds after the start and returns the figures up to then. */
  run(durationS: number): BenchFigures {
    this.loop.runUntil(this.startMs + durationS * 1000);
    return this.metrics.figures(this.targets);
  }

  /** Runs a function `timeS` seconds from now. */
  schedule(timeS: number, run: () => void): void {
    this.loop.after(timeS * 1000, run);
  }

  /** Publishes a configuration with these intents; each connected entry adopts it at a random time within 5 s. */
  setIntents(intents: readonly ConfirmedIntent[]): void {
    const version = this.configuration.version + 1;
    this.configuration = {...this.configuration, version, intents};
    const adopted = this.configuration;
    for (const entry of this.entries) {
      this.loop.after(this.random.next() * 5000, () => {
        if (entry.disconnectedAtMs === undefined) entry.policy.updateConfiguration(adopted);
      });
    }
  }

  /** Takes all entries and targets of a region down. */
  loseRegion(regionId: string): void {
    this.lostRegionIds.add(regionId);
    for (const fake of this.targets) {
      if (fake.target.regionId === regionId) fake.isAlive = false;
    }
    for (const entry of this.entries) {
      if (entry.groupEntry.regionId !== regionId) continue;
      entry.isAlive = false;
      entry.groupEntry.isConnected = false;
    }
    this.loop.after(membershipDelayMs, () => this.updateMembers());
  }

  /** Brings a lost region back with cold targets. Its entries keep their state, as after a network partition. */
  returnRegion(regionId: string): void {
    this.lostRegionIds.delete(regionId);
    for (const fake of this.targets) {
      if (fake.target.regionId === regionId) fake.restart(this.loop.nowMs());
    }
    for (const entry of this.entries) {
      if (entry.groupEntry.regionId !== regionId) continue;
      entry.isAlive = true;
      entry.groupEntry.isConnected = true;
    }
    this.countMovesFromMs = this.loop.nowMs() + 120_000;
    this.loop.after(membershipDelayMs, () => this.updateMembers());
  }

  /** Disconnects an entry from its peers and from new configurations; it still serves callers. */
  cutOff(index: number): void {
    const entry = this.entries[index];
    if (entry === undefined) return;
    entry.disconnectedAtMs = this.loop.nowMs();
    entry.groupEntry.isConnected = false;
    this.loop.after(membershipDelayMs, () => this.updateMembers());
  }

  /** Reconnects an entry after {@link cutOff}. */
  reconnect(index: number): void {
    const entry = this.entries[index];
    if (entry === undefined) return;
    entry.disconnectedAtMs = undefined;
    entry.groupEntry.isConnected = true;
    entry.policy.updateContactAge(0);
    entry.policy.updateConfiguration(this.configuration);
    this.updateMembers();
  }

  private findFakeTarget(targetId: string): FakeTarget {
    const fake = this.targetsById.get(targetId);
    if (fake === undefined) throw new Error(`no target "${targetId}"`);
    return fake;
  }

  private oneWayMs(fromRegionId: string, toRegionId: string): number {
    const {intraRegionLatencyMs, interRegionLatencyMs} = this.deployment;
    return fromRegionId === toRegionId ? intraRegionLatencyMs : interRegionLatencyMs;
  }

  private scheduleAll(): void {
    this.repeatEvery(50, () => this.entries.forEach(entry => entry.policy.tick()));
    this.repeatEvery(1000, () => this.everySecond());
    this.repeatEvery(100, () => this.pools.forEach(pool => this.metrics.samplePool(pool)));
    this.repeatEvery(probeIntervalMs, () => this.probeTargets());
    const wanted = this.options.serviceIds;
    for (const service of this.deployment.services) {
      if (wanted !== undefined && !wanted.includes(service.id)) continue;
      this.deployment.regionIds.forEach((regionId, index) => {
        const capacity = capacityPerS(service, service.targetsPerRegion[index] ?? 0);
        this.scheduleArrivals(service, regionId, 1000 / capacity);
      });
    }
  }

  private repeatEvery(intervalMs: number, run: () => void): void {
    this.loop.after(intervalMs, () => {
      run();
      this.repeatEvery(intervalMs, run);
    });
  }

  private everySecond(): void {
    for (const {groupEntry, policy, disconnectedAtMs} of this.entries) {
      this.metrics.beginSecond(groupEntry.id, policy.appliedShares());
      policy.updateContactAge(
        disconnectedAtMs === undefined ? 0 : this.loop.nowMs() - disconnectedAtMs,
      );
    }
    for (const service of this.deployment.services) {
      if (this.options.serviceIds?.includes(service.id) === false) continue;
      const targetCount = service.targetsPerRegion.reduce((sum, count) => sum + count, 0);
      const offeredPerS = capacityPerS(service, targetCount) * this.load;
      const slots = this.targets
        .filter(fake => fake.target.serviceId === service.id)
        .reduce((sum, fake) => sum + fake.usableSlots, 0);
      this.metrics.answerable += Math.min(offeredPerS, (slots * 1000) / service.serviceMs);
    }
  }

  /** Reports reach each entry 5 to 10 s after the probe; the news that a target is leaving arrives within 1 s. */
  private probeTargets(): void {
    for (const fake of this.targets) if (fake.isAlive && fake.isLeaving) this.announceLeaving(fake);
    if (!this.reportsArrive) return;
    const reports = this.targets.map(fake => fake.probe(this.loop.nowMs()));
    for (const entry of this.entries) {
      this.loop.after(5000 + this.random.next() * 5000, () => {
        if (entry.disconnectedAtMs === undefined) entry.policy.updateReports(reports);
      });
    }
  }

  private announceLeaving(fake: FakeTarget): void {
    for (const entry of this.entries) {
      this.loop.after(this.random.next() * maxLeavingGossipMs, () => {
        if (entry.disconnectedAtMs === undefined) entry.policy.markLeaving(fake.target.id);
      });
    }
  }

  private updateMembers(): void {
    const reachabilityOf = (entry: BenchEntry): Member['reachability'] =>
      entry.groupEntry.isConnected ? 'reachable' : 'unreachable';
    for (const viewer of this.entries) {
      if (!viewer.isAlive) continue;
      const view = this.entries.map((entry, index) => ({
        ...(this.deployment.members[index] as Member),
        reachability:
          entry === viewer
            ? 'reachable'
            : viewer.groupEntry.isConnected
              ? reachabilityOf(entry)
              : 'unreachable',
      }));
      viewer.policy.updateMembers(view as readonly Member[]);
    }
  }

  private scheduleArrivals(service: BenchService, regionId: string, fullLoadMeanMs: number): void {
    const meanIntervalMs = fullLoadMeanMs / this.load;
    this.loop.after(-Math.log(1 - this.arrivalRandom.next()) * meanIntervalMs, () => {
      this.startRequest(service, regionId);
      this.scheduleArrivals(service, regionId, fullLoadMeanMs);
    });
  }

  private startRequest(service: BenchService, callerRegionId: string): void {
    const isBatch = this.arrivalRandom.next() < service.batchFraction;
    const trafficClass = isBatch ? 'batch' : service.trafficClass;
    this.metrics.countOffered(trafficClass);
    const aliveEntries = this.entries.filter(entry => entry.isAlive);
    const localEntries = aliveEntries.filter(entry => entry.groupEntry.regionId === callerRegionId);
    const candidates = localEntries.length > 0 ? localEntries : aliveEntries;
    this.entryCounter += 1;
    const entry = candidates[this.entryCounter % Math.max(1, candidates.length)];
    if (entry === undefined) return;
    const startedAtMs = this.loop.nowMs();
    this.startAttempt({
      service,
      callerRegionId,
      trafficClass,
      startedAtMs,
      deadlineMs: startedAtMs + service.timeoutMs,
      entry,
      attempts: 0,
      excludedTargetIds: [],
    });
  }

  /** The cap limits shifts by operators; moves while a region is lost or has just returned do not count. */
  private isCountingMoves(): boolean {
    return this.lostRegionIds.size === 0 && this.loop.nowMs() >= this.countMovesFromMs;
  }

  private startAttempt(request: BenchRequest): void {
    const {service, callerRegionId, trafficClass, deadlineMs, entry, excludedTargetIds} = request;
    request.attempts += 1;
    if (this.isCountingMoves()) {
      this.metrics.countRequest(entry.groupEntry.id, service.id, callerRegionId);
    }
    entry.policy.assign(
      {serviceId: service.id, callerRegionId, trafficClass, deadlineMs, excludedTargetIds},
      result => {
        if (!('slotId' in result)) this.metrics.countRefusal(result.result.name);
        else this.sendAttempt(request, result);
      },
    );
  }

  private sendAttempt(request: BenchRequest, assignment: Assignment): void {
    const {entry, service, callerRegionId} = request;
    const {target} = assignment;
    const fake = this.targetsById.get(target.id);
    if (fake === undefined) return;
    this.metrics.attempts += 1;
    fake.inFlight += 1;
    fake.peakInFlight = Math.max(fake.peakInFlight, fake.inFlight);
    if (this.isCountingMoves()) {
      this.metrics.countSent(entry.groupEntry.id, service.id, callerRegionId, target.regionId);
    }
    const sentAtMs = this.loop.nowMs();
    const oneWayMs = this.oneWayMs(entry.groupEntry.regionId, target.regionId);
    this.loop.after(oneWayMs, () =>
      this.handleArrival(request, assignment, fake, sentAtMs, oneWayMs),
    );
  }

  private handleArrival(
    request: BenchRequest,
    assignment: Assignment,
    fake: FakeTarget,
    sentAtMs: number,
    oneWayMs: number,
  ): void {
    const nowMs = this.loop.nowMs();
    const reply = fake.handleRequest(nowMs);
    const end = (result: AttemptResult): void =>
      this.endAttempt(request, assignment, fake, result, sentAtMs);
    const remainingMs = request.deadlineMs - nowMs;
    if (reply.kind === 'silent') {
      this.loop.after(Math.max(0, Math.min(remainingMs, connectTimeoutMs)), () =>
        end('connect-failed'),
      );
    } else if (reply.kind !== 'runs') {
      this.loop.after(reply.afterMs + oneWayMs, () => end(reply.kind));
    } else if (reply.afterMs + oneWayMs > remainingMs) {
      this.loop.after(Math.max(0, remainingMs), () => end('timed-out'));
      this.loop.after(Math.max(0, Math.min(reply.afterMs, remainingMs + oneWayMs)), () =>
        fake.finish(),
      );
    } else {
      this.loop.after(reply.afterMs, () => {
        // A target that was lost in the meantime never answers.
        const lost = !fake.isAlive;
        fake.finish();
        this.loop.after(oneWayMs, () => end(lost ? 'connection-lost' : 'answered'));
      });
    }
  }

  private endAttempt(
    request: BenchRequest,
    assignment: Assignment,
    fake: FakeTarget,
    result: AttemptResult,
    sentAtMs: number,
  ): void {
    const nowMs = this.loop.nowMs();
    fake.inFlight -= 1;
    if (result === 'answered' && fake.isLeaving) request.entry.policy.markLeaving(fake.target.id);
    request.entry.policy.release(assignment, result, nowMs - sentAtMs);
    if (!request.entry.isAlive) return;
    if (result === 'answered') {
      this.metrics.countAnswer(request.trafficClass, nowMs - request.startedAtMs);
      return;
    }
    if (result === 'shed') this.metrics.rejected += 1;
    else this.metrics.failed += 1;
    const isRetryable = result === 'shed' || result === 'failed' || result === 'connect-failed';
    if (!isRetryable || request.attempts >= maxAttempts) {
      this.metrics.countRefusal(`after-${result}`);
      return;
    }
    request.excludedTargetIds.push(assignment.target.id);
    this.startAttempt(request);
  }
}
