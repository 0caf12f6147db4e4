/**
 * Discrete-event simulation of one service under load. Gateways use the real placement and admission control. Targets
 * answer faster for cached objects, and have few slots, a short queue and a small cache. It runs in simulated time
 * without a network, so a run with a given seed is reproducible.
 */
import type {RandomSource} from '@cuminsill/utils';
import {EventQueue, seededRandom} from '@cuminsill/utils';
import {admit} from '../src/admission';
import {RegionalShare} from '../src/regional_shares';
import {RoundTripTimes} from '../src/targets/round_trip_times';
import type {Placement, PlacementRequest, PlacementView} from '../src/targets/placement';
import {placeRequest} from '../src/targets/placement';
import {ServiceTimeEstimator} from '../src/targets/service_time_estimator';
import {Target} from '../src/targets/target';
import type {ServiceLoad, ServiceOutcome} from './service_load';
import {disturbanceFactor, drawRegion, meansOf} from './service_disturbances';
import type {
  Attempt,
  RegionRequestCounts,
  SimulatedGateway,
  SimulatedTarget,
} from './simulated_parts';
import {targetRecord} from './test_records';

/** Chooses a target: the gateway's placement or a baseline. */
export type PlacementPolicy = (
  request: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
) => Placement | undefined;

/** Interval of the out-of-region fractions. */
const regionIntervalMs = 2_000;
const samplesPerSecond = 10;
const sameRegionDelayMs = 1;
const serviceTimeSpread = 0.15;

/** Simulates the load and returns the results. */
export function simulateService(
  load: ServiceLoad,
  policy: PlacementPolicy = placeRequest,
): ServiceOutcome {
  return new ServiceSimulation(load, policy).run();
}

class ServiceSimulation {
  private readonly random: RandomSource;
  private readonly events = new EventQueue();
  private readonly targets = new Map<string, SimulatedTarget>();
  private readonly gateways: SimulatedGateway[] = [];
  private readonly requestCountBySecond: number[] = [];
  private readonly inTimeCountBySecond: number[] = [];
  private requestCount = 0;
  private inTimeCount = 0;
  private lateCount = 0;
  private refusedCount = 0;
  private readonly countsByRegion: RegionRequestCounts[];
  private cachedRunCount = 0;
  private runCount = 0;
  private waitedCount = 0;
  private totalWaitMs = 0;
  private readonly busySlotsBySecond: number[][];

  constructor(
    private readonly load: ServiceLoad,
    private readonly policy: PlacementPolicy,
  ) {
    this.random = seededRandom(load.seed);
    this.countsByRegion = load.regions.map(() => ({totals: [], outOfRegion: []}));
    this.busySlotsBySecond = load.regions.map(() => []);
    this.build();
  }

  run(): ServiceOutcome {
    this.fillQueues();
    this.scheduleArrival();
    this.scheduleSample();
    this.scheduleSlowdown();
    this.events.runUntil();
    return {
      requestCount: this.requestCount,
      inTimeCount: this.inTimeCount,
      lateCount: this.lateCount,
      refusedCount: this.refusedCount,
      inTimeFractionBySecond: this.requestCountBySecond.map(
        (requestCount, second) =>
          (this.inTimeCountBySecond[second] ?? 0) / Math.max(1, requestCount),
      ),
      cachedFraction: this.cachedRunCount / Math.max(1, this.runCount),
      outOfRegionFractions: this.countsByRegion.map(({totals, outOfRegion}) =>
        totals.map((count, interval) => (outOfRegion[interval] ?? 0) / Math.max(1, count)),
      ),
      utilizationsBySecond: this.busySlotsBySecond.map((samples, region) => {
        const slots = (this.load.regions[region]?.targets ?? 0) * this.load.slots;
        return meansOf(samples, samplesPerSecond).map(busy => busy / slots);
      }),
      waitedFraction: this.waitedCount / Math.max(1, this.runCount),
      meanWaitMs: this.totalWaitMs / Math.max(1, this.runCount),
    };
  }

  private build(): void {
    const {regions, slots} = this.load;
    const domains = new Map(regions.map((_region, index) => [`d${index}`, `r${index}`]));
    const records = regions.flatMap(({targets}, index) =>
      Array.from({length: targets}, (_value, number) =>
        targetRecord({id: `t${index}-${number}`, failureDomain: `d${index}`, slots}),
      ),
    );
    for (const {id, failureDomain} of records) {
      const region = domains.get(failureDomain) ?? '';
      this.targets.set(id, {id, region, cache: new Map(), queue: [], running: 0, slowUntilMs: 0});
    }
    for (const [index, {gateways}] of regions.entries()) {
      for (let number = 0; number < gateways; number += 1) {
        const roundTripTimes = new RoundTripTimes(`d${index}`, domains);
        for (const [domain, region] of domains) {
          roundTripTimes.observe(domain, 2 * this.networkDelayMs(`r${index}`, region));
        }
        this.gateways.push({
          name: `g${index}-${number}`,
          region: `r${index}`,
          targets: records.map(
            record => new Target(record, domains.get(record.failureDomain) ?? '', 0),
          ),
          serviceTime: new ServiceTimeEstimator(),
          roundTripTimes,
          regionalShare: new RegionalShare(),
        });
      }
    }
  }

  private networkDelayMs(from: string, to: string): number {
    return from === to ? sameRegionDelayMs : this.load.interRegionDelayMs;
  }

  private scheduleArrival(): void {
    const gapMs = -Math.log(1 - this.random.next()) * (1_000 / this.load.requestsPerS);
    if (this.events.nowMs + gapMs >= this.load.durationMs) return;
    this.events.schedule(gapMs, () => {
      this.startRequest();
      this.scheduleArrival();
    });
  }

  /** Counts busy slots at regular times. */
  private scheduleSample(): void {
    if (this.events.nowMs >= this.load.durationMs) return;
    this.events.schedule(1_000 / samplesPerSecond, () => {
      for (const [region, samples] of this.busySlotsBySecond.entries()) {
        const ofRegion = [...this.targets.values()].filter(
          target => target.region === `r${region}`,
        );
        samples.push(ofRegion.reduce((sum, {running}) => sum + running, 0));
      }
      this.scheduleSample();
    });
  }

  private scheduleSlowdown(): void {
    const {slowdown} = this.load;
    if (slowdown === undefined || this.events.nowMs >= this.load.durationMs) return;
    const targets = [...this.targets.values()];
    this.events.schedule(slowdown.durationMs / (slowdown.fraction * targets.length), () => {
      const target = targets[Math.floor(this.random.next() * targets.length)];
      if (target !== undefined) target.slowUntilMs = this.events.nowMs + slowdown.durationMs;
      this.scheduleSlowdown();
    });
  }

  private startRequest(): void {
    const region = drawRegion(this.load, this.events.nowMs, this.random);
    const localGateways = this.gateways.filter(gateway => gateway.region === `r${region}`);
    const gateway = localGateways[Math.floor(this.random.next() * localGateways.length)];
    if (gateway === undefined) return;
    const object = Math.floor(this.random.next() * this.load.objectCount);
    const objectKey = this.load.hasObjectsPerRegion ? `${region}/${object}` : String(object);
    const nowMs = this.events.nowMs;
    const second = Math.floor(nowMs / 1_000);
    this.requestCount += 1;
    this.requestCountBySecond[second] = (this.requestCountBySecond[second] ?? 0) + 1;
    this.send(gateway, objectKey, nowMs, new Set());
  }

  private send(
    gateway: SimulatedGateway,
    objectKey: string,
    arrivedAtMs: number,
    attemptedIds: ReadonlySet<string>,
  ): void {
    const nowMs = this.events.nowMs;
    const placement = this.policy(
      {
        objectKey,
        homeRegions: [],
        bodyBytes: 0,
        attemptedTargetIds: attemptedIds,
        latencyObjectiveMs: this.load.targetLatencyMs,
      },
      gateway.targets,
      this.viewOf(gateway, nowMs),
    );
    const elapsedMs = nowMs - arrivedAtMs;
    const isAdmitted =
      placement !== undefined &&
      admit({
        expectedMs: placement.expectedMs,
        minExpectedMs:
          attemptedIds.size > 0 || placement.target.health.isSlow(nowMs)
            ? placement.expectedMs
            : this.minExpectedMs(gateway, placement),
        waitMs: placement.waitMs,
        remainingMs: this.load.deadlineMs - elapsedMs,
        latencyBudgetMs: this.load.targetLatencyMs - elapsedMs,
        priority: 1,
        jitter: 0,
      }).kind === 'send';
    if (!isAdmitted) {
      this.refusedCount += 1;
      return;
    }
    const {target} = placement;
    this.countRegion(gateway, target.region, nowMs);
    target.load.recordStart();
    const attempt = {
      objectKey,
      arrivedAtMs,
      gateway,
      placement,
      attemptedIds,
      sentAtMs: nowMs,
    };
    const delayMs = this.networkDelayMs(gateway.region, target.region);
    this.events.schedule(delayMs, () => this.onArrivalAtTarget(attempt));
  }

  private minExpectedMs(
    {serviceTime, roundTripTimes}: SimulatedGateway,
    {target}: Placement,
  ): number {
    return roundTripTimes.expectedMs(target.failureDomain) + serviceTime.minMs();
  }

  private countRegion(gateway: SimulatedGateway, to: string, nowMs: number): void {
    const counts = this.countsByRegion[Number(gateway.region.slice(1))];
    if (counts === undefined) return;
    const index = Math.floor(nowMs / regionIntervalMs);
    counts.totals[index] = (counts.totals[index] ?? 0) + 1;
    if (to !== gateway.region) counts.outOfRegion[index] = (counts.outOfRegion[index] ?? 0) + 1;
  }

  private viewOf(gateway: SimulatedGateway, nowMs: number): PlacementView {
    return {
      nowMs,
      ownName: gateway.name,
      ownRegion: gateway.region,
      ownCallerFraction: 1 / this.load.regions.length,
      gatewayNames: [],
      senderNames: [],
      evacuatedDomains: new Set(),
      coldLimit: {requestsPerS: 10},
      serviceTime: gateway.serviceTime,
      roundTripTimes: gateway.roundTripTimes,
      regionalShare: gateway.regionalShare,
    };
  }

  private onArrivalAtTarget(attempt: Attempt): void {
    const server = this.targetOf(attempt);
    if (this.rejectsNow() || server.queue.length >= this.load.queueLength) {
      this.answer(attempt, server, false);
      return;
    }
    server.queue.push({attempt, queuedAtMs: this.events.nowMs});
    this.startNext(server);
  }

  private rejectsNow(): boolean {
    const {fault} = this.load;
    const nowMs = this.events.nowMs;
    if (fault === undefined || nowMs < fault.fromMs || nowMs >= fault.toMs) return false;
    return this.random.next() < fault.fraction;
  }

  private startNext(server: SimulatedTarget): void {
    if (server.running >= this.load.slots) return;
    const queued = server.queue.shift();
    if (queued === undefined) return;
    const {attempt, queuedAtMs} = queued;
    const waitedMs = this.events.nowMs - queuedAtMs;
    if (waitedMs > 0) this.waitedCount += 1;
    this.totalWaitMs += waitedMs;
    server.running += 1;
    const isCached = server.cache.has(attempt.objectKey);
    this.runCount += 1;
    if (isCached) this.cachedRunCount += 1;
    this.cacheObject(server, attempt.objectKey);
    const spread = 1 + serviceTimeSpread * (2 * this.random.next() - 1);
    const cacheFactor = isCached ? 1 - this.load.cachedSavingFraction : 1;
    const serviceTimeMs =
      this.load.serviceTimeMs * spread * cacheFactor * this.disturbanceOf(server);
    this.events.schedule(serviceTimeMs, () => {
      server.running -= 1;
      this.answer(attempt, server, true);
      this.startNext(server);
    });
  }

  private disturbanceOf({slowUntilMs}: SimulatedTarget): number {
    return disturbanceFactor(this.load, this.events.nowMs < slowUntilMs, this.random);
  }

  private cacheObject(server: SimulatedTarget, objectKey: string): void {
    server.cache.delete(objectKey);
    server.cache.set(objectKey, true);
    const [first] = server.cache.keys();
    if (server.cache.size > this.load.cacheSize && first !== undefined) server.cache.delete(first);
  }

  private answer(attempt: Attempt, server: SimulatedTarget, wasRun: boolean): void {
    const {running, queue} = server;
    const load = {running, waiting: queue.length, slots: this.load.slots};
    const delayMs = this.networkDelayMs(attempt.gateway.region, server.region);
    this.events.schedule(delayMs, () => {
      const {target} = attempt.placement;
      const nowMs = this.events.nowMs;
      target.load.recordReport(load, nowMs);
      target.load.recordEnd();
      if (wasRun) this.onAnswer(attempt, nowMs, load.waiting);
      else this.onRejection(attempt, nowMs);
    });
  }

  private onAnswer(attempt: Attempt, nowMs: number, waiting: number): void {
    const {gateway, placement, objectKey, sentAtMs, arrivedAtMs} = attempt;
    const {target, waitMs} = placement;
    const delayMs = gateway.roundTripTimes.expectedMs(target.failureDomain);
    const serviceTimeMs = Math.max(0, nowMs - sentAtMs - delayMs - waitMs);
    target.health.onAnswer(
      nowMs,
      Math.max(1, serviceTimeMs / gateway.serviceTime.expectedMs(false)),
    );
    gateway.serviceTime.recordAnswer(serviceTimeMs);
    gateway.serviceTime.observe(serviceTimeMs, waiting > 0 || waitMs > 0);
    target.recentObjects.recordUse(objectKey, nowMs);
    const elapsedMs = nowMs - arrivedAtMs;
    if (elapsedMs > this.load.deadlineMs) return;
    if (elapsedMs > this.load.targetLatencyMs) {
      this.lateCount += 1;
      return;
    }
    this.inTimeCount += 1;
    const second = Math.floor(arrivedAtMs / 1_000);
    this.inTimeCountBySecond[second] = (this.inTimeCountBySecond[second] ?? 0) + 1;
  }

  private onRejection(attempt: Attempt, nowMs: number): void {
    attempt.placement.target.health.onFailure(nowMs);
    const ids = new Set([...attempt.attemptedIds, attempt.placement.target.id]);
    if (ids.size < 2) this.send(attempt.gateway, attempt.objectKey, attempt.arrivedAtMs, ids);
    else this.refusedCount += 1;
  }

  private targetOf(attempt: Attempt): SimulatedTarget {
    const server = this.targets.get(attempt.placement.target.id);
    if (server === undefined) throw new Error(`no server ${attempt.placement.target.id}`);
    return server;
  }

  private fillQueues(): void {
    for (const server of this.targets.values()) {
      for (let waiting = 0; waiting < this.load.initialQueueLength; waiting += 1) {
        this.occupySlot(server);
      }
    }
  }

  /** Occupies a slot with an earlier request for an object that is not requested again. */
  private occupySlot(server: SimulatedTarget): void {
    server.running += 1;
    this.events.schedule(this.load.serviceTimeMs * (1 + this.random.next() * 2), () => {
      server.running -= 1;
      this.startNext(server);
    });
  }
}
