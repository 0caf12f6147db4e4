/** What the policy bench counts. */
import type {AppliedShare, TrafficClass} from '@cuminsill/types';
import {trafficClasses} from '@cuminsill/types';
import type {FakeTarget} from './bench_targets';

/** Requests in a window below this number say little about a share. */
const minRequestsPerWindow = 100;
const windowS = 60;

/** Figures of one run. */
export interface BenchFigures {
  readonly offered: number;
  readonly answered: number;
  readonly possible: number;
  /** Answered requests against what the surviving capacity could answer. */
  readonly goodputShare: number;
  /** Answered against offered, by class. */
  readonly answeredShare: Readonly<Record<TrafficClass, number>>;
  /** Largest number of requests that entries had at one endpoint at once, against its slots. */
  readonly endpointPeakShare: number;
  readonly endpointPeakRunningShare: number;
  readonly regionPeakShare: number;
  /** Largest share of a route's requests at one entry that moved within a window. */
  readonly movedShare: number;
  readonly shedShare: number;
  readonly failedShare: number;
  readonly refusals: Readonly<Record<string, number>>;
  readonly latencyMs: Readonly<Record<TrafficClass, {readonly p50: number; readonly p99: number}>>;
}

class MovedShareWindow {
  private readonly sharesPerSecond: ReadonlyMap<string, number>[] = [];
  private readonly countsPerSecond: Map<string, number>[] = [];
  maxMovedShare = 0;

  /** Begins a second with the shares in force. */
  beginSecond(shares: ReadonlyMap<string, number>): void {
    this.sharesPerSecond.push(shares);
    this.countsPerSecond.push(new Map());
    if (this.countsPerSecond.length % 10 === 0) this.evaluate();
  }

  /** Counts a request, sent or refused, against the shares of one window earlier. */
  countRequest(): void {
    const counts = this.countsPerSecond.at(-1);
    const earlier = this.sharesPerSecond[this.sharesPerSecond.length - 1 - windowS];
    if (counts === undefined || earlier === undefined) return;
    for (const [id, share] of earlier) counts.set(id, (counts.get(id) ?? 0) - share);
    counts.set('', (counts.get('') ?? 0) + 1);
  }

  /** Counts a request that was sent to a region. */
  countSent(regionId: string): void {
    const bucket = this.countsPerSecond.at(-1);
    if (bucket === undefined || this.sharesPerSecond.length <= windowS) return;
    bucket.set(regionId, (bucket.get(regionId) ?? 0) + 1);
  }

  private evaluate(): void {
    const sums = new Map<string, number>();
    for (const bucket of this.countsPerSecond.slice(-windowS)) {
      for (const [id, value] of bucket) sums.set(id, (sums.get(id) ?? 0) + value);
    }
    const requests = sums.get('') ?? 0;
    if (requests < minRequestsPerWindow) return;
    sums.delete('');
    // What a region got above its earlier share. A refused request goes to no region, so it moves nothing.
    const moved = [...sums.values()].reduce((sum, value) => sum + Math.max(0, value), 0);
    this.maxMovedShare = Math.max(this.maxMovedShare, moved / requests);
  }
}

/** Counts one run. */
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

  /** Counts a request of a route at an entry, before it is known whether it can be sent. */
  countRequest(entryId: string, serviceId: string, callerRegionId: string): void {
    this.windowsByRoute.get(JSON.stringify([entryId, serviceId, callerRegionId]))?.countRequest();
  }

  /** Counts where a request of a route went at an entry. */
  countSent(entryId: string, serviceId: string, callerRegionId: string, regionId: string): void {
    this.windowsByRoute
      .get(JSON.stringify([entryId, serviceId, callerRegionId]))
      ?.countSent(regionId);
  }

  /** Notes the shares that an entry applies from this second on. */
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

  /** Notes the load of one service in one region. */
  samplePool(targets: readonly FakeTarget[]): void {
    const slots = targets.reduce((sum, {target}) => sum + target.slots, 0);
    const sent = targets.reduce((sum, entry) => sum + entry.inFlight, 0);
    this.peakRegionUse = Math.max(this.peakRegionUse, sent / slots);
  }

  figures(targets: readonly FakeTarget[]): BenchFigures {
    const all = trafficClasses.flatMap(trafficClass => this.answeredMs[trafficClass]).length;
    const shareOfSlots = (count: (target: FakeTarget) => number): number =>
      Math.max(...targets.map(entry => count(entry) / entry.target.slots));
    return {
      offered: this.offered,
      answered: all,
      possible: Math.round(this.answerable),
      goodputShare: all / this.answerable,
      answeredShare: this.byClass(
        name => this.answeredMs[name].length / Math.max(1, this.offeredByClass[name]),
      ),
      endpointPeakShare: shareOfSlots(entry => entry.peakInFlight),
      endpointPeakRunningShare: shareOfSlots(entry => entry.peakRunningCount),
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
        const at = (part: number): number =>
          Math.round(sorted[Math.floor((sorted.length - 1) * part)] ?? 0);
        return {p50: at(0.5), p99: at(0.99)};
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
