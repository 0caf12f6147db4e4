/**
 * A model of one service under load: gateways that place requests by the product's own decisions, and targets that answer
 * known objects faster, have few slots, a short queue and room for few objects. It needs no network and runs in its own
 * time, so a run with a seed is repeatable.
 */
import type {RandomSource} from '@cuminsill/utils';
import {EventQueue, seededRandom} from '@cuminsill/utils';
import {admit} from '../src/admission';
import {PathLatency} from '../src/path_latency';
import type {Placement, PlacementRequest, PlacementView} from '../src/placement';
import {placeRequest} from '../src/placement';
import {ServiceTiming} from '../src/service_timing';
import {Target} from '../src/target';
import {targetRecord} from './records';

/** What is played. */
export interface ServiceLoad {
  readonly seed: number;
  readonly regions: ReadonlyArray<{readonly gateways: number; readonly targets: number}>;
  readonly requestsPerS: number;
  readonly durationMs: number;
  readonly slots: number;
  readonly queueLength: number;
  /** Objects that a target knows at most. */
  readonly keeps: number;
  readonly objects: number;
  /** True when each region asks for objects of its own; `objects` then counts those of one region. */
  readonly objectsPerRegion: boolean;
  readonly workMs: number;
  /** Part of the work that a known object saves. */
  readonly knownSaves: number;
  readonly betweenRegionsMs: number;
  readonly aimMs: number;
  readonly deadlineMs: number;
  /** Requests that wait at each target at the start, as a trouble before would leave them. */
  readonly startQueue: number;
  /** Span in which targets decline a part of the requests though they have room. */
  readonly shedding?: {readonly fromMs: number; readonly toMs: number; readonly share: number};
}

/** What came of it. */
export interface ServiceOutcome {
  readonly asked: number;
  readonly inAim: number;
  readonly late: number;
  readonly refused: number;
  /** In time, by second of arrival, as a share. */
  readonly inAimBySecond: readonly number[];
  readonly knownShare: number;
  /** Part of the requests of each region that were sent out of it, by span of two seconds. */
  readonly leftRegion: ReadonlyArray<readonly number[]>;
}

/** Chooses a target; the product's placement, or a baseline to compare it with. */
export type Policy = (
  request: PlacementRequest,
  targets: readonly Target[],
  view: PlacementView,
) => Placement | undefined;

interface Job {
  readonly objectKey: string;
  readonly arrivedAtMs: number;
  readonly gateway: ModelGateway;
  readonly placement: Placement;
  readonly tried: ReadonlySet<string>;
  readonly sentAtMs: number;
}

interface ModelServer {
  readonly id: string;
  readonly region: string;
  readonly known: Map<string, true>;
  readonly queue: Job[];
  running: number;
}

interface ModelGateway {
  readonly name: string;
  readonly region: string;
  readonly targets: readonly Target[];
  readonly timing: ServiceTiming;
  readonly latency: PathLatency;
}

interface RegionCounts {
  readonly sent: number[];
  readonly left: number[];
}

/** Span over which the shares of regions are compared. */
const regionSpanMs = 2_000;
const localTravelMs = 1;
const shareOfWorkSpread = 0.15;

/** Plays the load and returns what came of it. */
export function playService(load: ServiceLoad, policy: Policy = placeRequest): ServiceOutcome {
  return new ServiceModel(load, policy).play();
}

class ServiceModel {
  private readonly random: RandomSource;
  private readonly events = new EventQueue();
  private readonly servers = new Map<string, ModelServer>();
  private readonly gateways: ModelGateway[] = [];
  private readonly askedBySecond: number[] = [];
  private readonly inAimCounts: number[] = [];
  private asked = 0;
  private inAim = 0;
  private late = 0;
  private refused = 0;
  private readonly sentByRegion: RegionCounts[];
  private knownRuns = 0;
  private runs = 0;

  constructor(
    private readonly load: ServiceLoad,
    private readonly policy: Policy,
  ) {
    this.random = seededRandom(load.seed);
    this.sentByRegion = load.regions.map(() => ({sent: [], left: []}));
    this.build();
  }

  play(): ServiceOutcome {
    this.fillQueues();
    this.scheduleArrival();
    this.events.runUntil();
    return {
      asked: this.asked,
      inAim: this.inAim,
      late: this.late,
      refused: this.refused,
      inAimBySecond: this.askedBySecond.map(
        (asked, second) => (this.inAimCounts[second] ?? 0) / Math.max(1, asked),
      ),
      knownShare: this.knownRuns / Math.max(1, this.runs),
      leftRegion: this.sentByRegion.map(({sent, left}) =>
        sent.map((count, span) => (left[span] ?? 0) / Math.max(1, count)),
      ),
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
      this.servers.set(id, {id, region, known: new Map(), queue: [], running: 0});
    }
    for (const [index, {gateways}] of regions.entries()) {
      for (let number = 0; number < gateways; number += 1) {
        const latency = new PathLatency(`d${index}`, domains);
        for (const [domain, region] of domains) {
          latency.observe(domain, 2 * this.travelMs(`r${index}`, region));
        }
        this.gateways.push({
          name: `g${index}-${number}`,
          region: `r${index}`,
          targets: records.map(
            record => new Target(record, domains.get(record.failureDomain) ?? '', 0),
          ),
          timing: new ServiceTiming(),
          latency,
        });
      }
    }
  }

  private travelMs(from: string, to: string): number {
    return from === to ? localTravelMs : this.load.betweenRegionsMs;
  }

  private scheduleArrival(): void {
    const gapMs = -Math.log(1 - this.random.next()) * (1_000 / this.load.requestsPerS);
    if (this.events.nowMs + gapMs >= this.load.durationMs) return;
    this.events.after(gapMs, () => {
      this.arrive();
      this.scheduleArrival();
    });
  }

  private arrive(): void {
    const region = Math.floor(this.random.next() * this.load.regions.length);
    const local = this.gateways.filter(gateway => gateway.region === `r${region}`);
    const gateway = local[Math.floor(this.random.next() * local.length)];
    if (gateway === undefined) return;
    const object = Math.floor(this.random.next() * this.load.objects);
    const objectKey = this.load.objectsPerRegion ? `${region}/${object}` : String(object);
    const nowMs = this.events.nowMs;
    const second = Math.floor(nowMs / 1_000);
    this.asked += 1;
    this.askedBySecond[second] = (this.askedBySecond[second] ?? 0) + 1;
    this.send(gateway, objectKey, nowMs, new Set());
  }

  private send(
    gateway: ModelGateway,
    objectKey: string,
    arrivedAtMs: number,
    tried: ReadonlySet<string>,
  ): void {
    const nowMs = this.events.nowMs;
    const placement = this.policy(
      {objectKey, homeRegions: [], bodyBytes: 0, triedIds: tried},
      gateway.targets,
      this.viewOf(gateway, nowMs),
    );
    const spentMs = nowMs - arrivedAtMs;
    const admitted =
      placement !== undefined &&
      admit({
        expectedMs: placement.expectedMs,
        waitMs: placement.waitMs,
        remainingMs: this.load.deadlineMs - spentMs,
        usefulMs: this.load.aimMs - spentMs,
        priority: 1,
        spread: 0,
      }).kind === 'send';
    if (!admitted) {
      this.refused += 1;
      return;
    }
    const {target} = placement;
    this.countRegion(gateway, target.region, nowMs);
    target.load.started();
    const job = {objectKey, arrivedAtMs, gateway, placement, tried, sentAtMs: nowMs};
    const travelMs = this.travelMs(gateway.region, target.region);
    this.events.after(travelMs, () => this.receive(job));
  }

  private countRegion(gateway: ModelGateway, to: string, nowMs: number): void {
    const counts = this.sentByRegion[Number(gateway.region.slice(1))];
    if (counts === undefined) return;
    const span = Math.floor(nowMs / regionSpanMs);
    counts.sent[span] = (counts.sent[span] ?? 0) + 1;
    if (to !== gateway.region) counts.left[span] = (counts.left[span] ?? 0) + 1;
  }

  private viewOf(gateway: ModelGateway, nowMs: number): PlacementView {
    return {
      nowMs,
      ownName: gateway.name,
      ownRegion: gateway.region,
      ownDemandShare: 1 / this.load.regions.length,
      gatewayNames: [],
      evacuatedDomains: new Set(),
      coldLimit: {requestsPerS: 10},
      timing: gateway.timing,
      latency: gateway.latency,
    };
  }

  private receive(job: Job): void {
    const server = this.serverOf(job);
    if (this.shedsNow() || server.queue.length >= this.load.queueLength) {
      this.answer(job, server, false);
      return;
    }
    server.queue.push(job);
    this.startNext(server);
  }

  private shedsNow(): boolean {
    const {shedding} = this.load;
    const nowMs = this.events.nowMs;
    if (shedding === undefined || nowMs < shedding.fromMs || nowMs >= shedding.toMs) return false;
    return this.random.next() < shedding.share;
  }

  private startNext(server: ModelServer): void {
    if (server.running >= this.load.slots) return;
    const job = server.queue.shift();
    if (job === undefined) return;
    server.running += 1;
    const known = server.known.has(job.objectKey);
    this.runs += 1;
    if (known) this.knownRuns += 1;
    this.remember(server, job.objectKey);
    const spread = 1 + shareOfWorkSpread * (2 * this.random.next() - 1);
    const workMs = this.load.workMs * spread * (known ? 1 - this.load.knownSaves : 1);
    this.events.after(workMs, () => {
      server.running -= 1;
      this.answer(job, server, true);
      this.startNext(server);
    });
  }

  private remember(server: ModelServer, objectKey: string): void {
    server.known.delete(objectKey);
    server.known.set(objectKey, true);
    const [oldest] = server.known.keys();
    if (server.known.size > this.load.keeps && oldest !== undefined) server.known.delete(oldest);
  }

  private answer(job: Job, server: ModelServer, ran: boolean): void {
    const {running, queue} = server;
    const load = {running, waiting: queue.length, slots: this.load.slots};
    const travelMs = this.travelMs(job.gateway.region, server.region);
    this.events.after(travelMs, () => {
      const {target} = job.placement;
      const nowMs = this.events.nowMs;
      target.load.reported(load, nowMs);
      target.load.ended();
      if (ran) this.learn(job, nowMs, load.waiting);
      else this.declined(job, nowMs);
    });
  }

  private learn(job: Job, nowMs: number, waiting: number): void {
    const {gateway, placement, objectKey, sentAtMs, arrivedAtMs} = job;
    const {target, waitMs} = placement;
    const travelMs = gateway.latency.roundTripMs(target.failureDomain);
    const workMs = Math.max(0, nowMs - sentAtMs - travelMs - waitMs);
    target.health.answered(nowMs, Math.max(1, workMs / gateway.timing.workMs(false)));
    gateway.timing.observe(workMs, waiting > 0 || waitMs > 0);
    target.objects.used(objectKey, nowMs);
    const elapsedMs = nowMs - arrivedAtMs;
    if (elapsedMs > this.load.deadlineMs) return;
    if (elapsedMs > this.load.aimMs) {
      this.late += 1;
      return;
    }
    this.inAim += 1;
    const second = Math.floor(arrivedAtMs / 1_000);
    this.inAimCounts[second] = (this.inAimCounts[second] ?? 0) + 1;
  }

  private declined(job: Job, nowMs: number): void {
    job.placement.target.health.failed(nowMs);
    const tried = new Set([...job.tried, job.placement.target.id]);
    if (tried.size < 2) this.send(job.gateway, job.objectKey, job.arrivedAtMs, tried);
    else this.refused += 1;
  }

  private serverOf(job: Job): ModelServer {
    const server = this.servers.get(job.placement.target.id);
    if (server === undefined) throw new Error(`no server ${job.placement.target.id}`);
    return server;
  }

  private fillQueues(): void {
    for (const server of this.servers.values()) {
      for (let waiting = 0; waiting < this.load.startQueue; waiting += 1) {
        this.occupy(server);
      }
    }
  }

  /** A request of the time before, on an object that nobody asks for again. */
  private occupy(server: ModelServer): void {
    server.running += 1;
    this.events.after(this.load.workMs * (1 + this.random.next() * 2), () => {
      server.running -= 1;
      this.startNext(server);
    });
  }
}
