/** Metrics of the policy benchmark. */
import type {AppliedShare, TrafficClass} from '@cuminsill/types';
import {trafficClasses} from '@cuminsill/types';
import type {FakeTarget} from './bench_targets';

/** The moved share is not computed for a window with fewer requests, because it would say little. */
const minRequestsPerWindow = 100;
const windowS = 60;

/** Results of one benchmark run. Fields named `...Share` are fractions. */
export interface BenchFigures {
  readonly offered: number;
  readonly answered: number;
  /** Requests that the surviving capacity could answer. */
  readonly possible: number;
  /** Answered requests as a fraction of those that the surviving capacity could answer. */
  readonly goodputShare: number;
  /** Answered requests as a fraction of the offered ones, by traffic class. */
  readonly answeredShare: Readonly<Record<TrafficClass, number>>;
  /** Largest number of requests in flight at one target, as a fraction of its slots. */
  readonly endpointPeakShare: number;
  /** Largest number of requests that ran at one target at once, as a fraction of its slots. */
  readonly endpointPeakRunningShare: number;
  /** Largest number of requests in flight at one service's targets in one region, as a fraction of their slots. */
  readonly regionPeakShare: number;
  /** Largest fraction of a route's requests at one entry that changed region within a window. */
  readonly movedShare: number;
  readonly shedShare: number;
  readonly failedShare: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly latencyMs: Readonly<Record<TrafficClass, {readonly p50: number; readonly p99: number}>>;
}

/** Compares the requests that each region gets with the shares that applied one window earlier. */
class MovedShareWindow {
  private readonly sharesPerSecond: ReadonlyMap<string, number>[] = [];
  private readonly countsPerSecond: Map<string, number>[] = [];
  maxMovedShare = 0;

  /** Begins a second, in which the given shares apply. */
  beginSecond(shares: ReadonlyMap<string, number>): void {
    this.sharesPerSecond.push(shares);
    this.countsPerSecond.push(new Map());
    if (this.countsPerSecond.length % 10 === 0) this.updateMaxMovedShare();
  }

  /** Counts a request, sent or refused, and subtracts the shares that applied one window earlier. */
  countRequest(): void {
    const counts = this.countsPerSecond.at(-1);
    const earlierShares = this.sharesPerSecond[this.sharesPerSecond.length - 1 - windowS];
    if (counts === undefined || earlierShares === undefined) return;
    for (const [id, share] of earlierShares) counts.set(id, (counts.get(id) ?? 0) - share);
    counts.set('', (counts.get('') ?? 0) + 1);
  }

  /** Counts a request that was sent to a region. */
  countSent(regionId: string): void {
    const counts = this.countsPerSecond.at(-1);
    if (counts === undefined || this.sharesPerSecond.length <= windowS) return;
    counts.set(regionId, (counts.get(regionId) ?? 0) + 1);
  }

  private updateMaxMovedShare(): void {
    const sums = new Map<string, number>();
    for (const counts of this.countsPerSecond.slice(-windowS)) {
      for (const [id, value] of counts) sums.set(id, (sums.get(id) ?? 0) + value);
    }
    const requests = sums.get('') ?? 0;
    if (requests < minRequestsPerWindow) return;
    sums.delete('');
    // Sums the requests that each region got above its earlier share. A refused request goes to no region, so it does
    // not count as moved.
    const moved = [...sums.values()].reduce((sum, value) => sum + Math.max(0, value), 0);
    this.maxMovedShare = Math.max(this.maxMovedShare, moved / requests);
  }
}

/** Counts the requests of one benchmark run. */
export class BenchMetrics {
  offered = 0;
  answerable = 0;
  rejected = 0;
  failed = 0;
  attempts = 0;
  private peakRegionUse = 0;
  private readonly answeredMs: Record<TrafficClass, number[]> = {
    interactive: [],
    upload: [],
    batch: [],
  };
  private readonly offeredByClass: Record<TrafficClass, number> = {
    interactive: 0,
    upload: 0,
    batch: 0,
  };
  private readonly refusals = new Map<string, number>();
  private readonly windowsByRoute = new Map<string, MovedShareWindow>();

  countOffered(trafficClass: TrafficClass): void {
    this.offered += 1;
    this.offeredByClass[trafficClass] += 1;
  }

  countAnswer(trafficClass: TrafficClass, latencyMs: number): void {
    this.answeredMs[trafficClass].push(latencyMs);
  }

  countRefusal(name: string): void {
    this.refusals.set(name, (this.refusals.get(name) ?? 0) + 1);
  }

  /** Counts a request of a route at an entry before it is sent or refused. */
  countRequest(entryId: string, serviceId: string, callerRegionId: string): void {
    this.windowsByRoute.get(JSON.stringify([entryId, serviceId, callerRegionId]))?.countRequest();
  }

  /** Counts the region that an entry sent a request of a route to. */
  countSent(entryId: string, serviceId: string, callerRegionId: string, regionId: string): void {
    this.windowsByRoute
      .get(JSON.stringify([entryId, serviceId, callerRegionId]))
      ?.countSent(regionId);
  }

  /** Begins a second, in which an entry applies the given shares. */
  beginSecond(entryId: string, shares: readonly AppliedShare[]): void {
    const routes = new Map<string, Map<string, number>>();
    for (const {serviceId, callerRegionId, targetRegionId, share} of shares) {
      const key = JSON.stringify([entryId, serviceId, callerRegionId]);
      const byRegion = routes.get(key) ?? new Map<string, number>();
      byRegion.set(targetRegionId, share);
      routes.set(key, byRegion);
    }
    for (const [key, byRegion] of routes) {
      const window = this.windowsByRoute.get(key) ?? new MovedShareWindow();
      window.beginSecond(byRegion);
      this.windowsByRoute.set(key, window);
    }
  }

  /** Samples the load of one service in one region. */
  samplePool(targets: readonly FakeTarget[]): void {
    const slots = targets.reduce((sum, {target}) => sum + target.slots, 0);
    const inFlight = targets.reduce((sum, fake) => sum + fake.inFlight, 0);
    this.peakRegionUse = Math.max(this.peakRegionUse, inFlight / slots);
  }

  figures(targets: readonly FakeTarget[]): BenchFigures {
    const answered = trafficClasses.flatMap(trafficClass => this.answeredMs[trafficClass]).length;
    const maxShareOfSlots = (count: (target: FakeTarget) => number): number =>
      Math.max(...targets.map(fake => count(fake) / fake.target.slots));
    return {
      offered: this.offered,
      answered: answered,
      possible: Math.round(this.answerable),
      goodputShare: answered / this.answerable,
      answeredShare: this.byClass(
        name => this.answeredMs[name].length / Math.max(1, this.offeredByClass[name]),
      ),
      endpointPeakShare: maxShareOfSlots(fake => fake.peakInFlight),
      endpointPeakRunningShare: maxShareOfSlots(fake => fake.peakRunningCount),
      regionPeakShare: this.peakRegionUse,
      movedShare: Math.max(
        0,
        ...[...this.windowsByRoute.values()].map(window => window.maxMovedShare),
      ),
      shedShare: this.rejected / Math.max(1, this.attempts),
      failedShare: this.failed / Math.max(1, this.attempts),
      refusals: Object.fromEntries(this.refusals),
      latencyMs: this.byClass(name => {
        const sorted = Float64Array.from(this.answeredMs[name]).sort();
        const percentile = (fraction: number): number =>
          Math.round(sorted[Math.floor((sorted.length - 1) * fraction)] ?? 0);
        return {p50: percentile(0.5), p99: percentile(0.99)};
      }),
    };
  }

  private byClass<Value>(value: (name: TrafficClass) => Value): Record<TrafficClass, Value> {
    return {
      interactive: value('interactive'),
      upload: value('upload'),
      batch: value('batch'),
    };
  }
}
