/**
 * Remembers who asked for a service at this gateway in the last seconds: for each rank how much and what waits it accepts, and
 * for each workspace in a rank how much.
 */

/**
 * Decay time of the counts. A gateway handles about 3 requests a second of a service, so a shorter memory would hold too
 * few to tell large workspaces from small ones.
 */
export const demandDecayMs = 8_000;
/** Smaller counts are dropped: about 30 s after the last of a few requests. */
const minCount = 0.02;
/** Limits the memory when there are many workspaces. The largest are kept, because only they are held to their shares. */
const maxWorkspaceEntries = 1_024;
const keptWhenFullFraction = 0.75;
/** Ranks that ask for less count as absent when other ranks leave room for them; a single request counts for 13 s. */
const minRecentCount = 0.2;
/** Weight of the old mean in the moving average of accepted waits. */
const waitSmoothing = 0.9;
/** Step of a sequence that is spread evenly between 0 and 1 (golden ratio). */
const evenStep = 0.618034;

/** Count of events that fade with the decay time. */
class DecayingCount {
  private value = 0;
  private updatedAtMs = 0;

  add(nowMs: number): void {
    this.value = this.at(nowMs) + 1;
    this.updatedAtMs = nowMs;
  }

  at(nowMs: number): number {
    return this.value * Math.exp((this.updatedAtMs - nowMs) / demandDecayMs);
  }
}

/** Demand of one workspace in one rank. */
export class WorkspaceDemand {
  readonly requests = new DecayingCount();
  readonly refusals = new DecayingCount();
  /** Requests of the workspace's whole share that are not used yet; a request needs 1. */
  credit: number;
  /** The same for its part of the capacity that its rank is guaranteed. */
  guaranteedCredit: number;

  constructor(
    readonly rank: RankDemand,
    initialCredit: number,
  ) {
    this.credit = initialCredit;
    this.guaranteedCredit = initialCredit;
  }
}

/** Demand of one rank. */
export class RankDemand {
  readonly requests = new DecayingCount();
  private meanAcceptedWaitMs: number | undefined;

  /** @param order Place of the rank; 0 is the most urgent. */
  constructor(readonly order: number) {}

  /** Mean wait that the rank's recent requests accepted. */
  get acceptedWaitMs(): number {
    return this.meanAcceptedWaitMs ?? Infinity;
  }

  recordAcceptedWait(waitMs: number): void {
    const mean = this.meanAcceptedWaitMs ?? waitMs;
    this.meanAcceptedWaitMs = waitSmoothing * mean + (1 - waitSmoothing) * waitMs;
  }
}

/** Demand for one service. */
export class RecentDemand {
  private readonly ranksByOrder = new Map<number, RankDemand>();
  private readonly workspacesByKey = new Map<string, WorkspaceDemand>();
  private createdCount = 0;

  /** Records a request and returns the demand of its workspace. */
  record(order: number, workspace: string, acceptedWaitMs: number, nowMs: number): WorkspaceDemand {
    const rank = this.rankOf(order);
    rank.requests.add(nowMs);
    rank.recordAcceptedWait(acceptedWaitMs);
    const demand = this.workspaceOf(rank, workspace, nowMs);
    demand.requests.add(nowMs);
    return demand;
  }

  /** Ranks with recent requests, the most urgent first. */
  recentRanks(nowMs: number): readonly RankDemand[] {
    return [...this.ranksByOrder.values()]
      .filter(({requests}) => requests.at(nowMs) >= minRecentCount)
      .sort((a, b) => a.order - b.order);
  }

  /** Demands of the workspaces of each rank, in ascending order. */
  sortedDemands(nowMs: number): ReadonlyMap<RankDemand, readonly number[]> {
    const byRank = new Map<RankDemand, number[]>();
    for (const {rank, requests} of this.workspacesByKey.values()) {
      const demands = byRank.get(rank) ?? [];
      demands.push(requests.at(nowMs));
      byRank.set(rank, demands);
    }
    for (const demands of byRank.values()) demands.sort((a, b) => a - b);
    return byRank;
  }

  /** Drops what is no longer recent. */
  dropOld(nowMs: number): void {
    for (const [key, {requests}] of this.workspacesByKey) {
      if (requests.at(nowMs) < minCount) this.workspacesByKey.delete(key);
    }
    for (const [order, {requests}] of this.ranksByOrder) {
      if (requests.at(nowMs) < minCount) this.ranksByOrder.delete(order);
    }
  }

  /** Number of workspaces in memory, counted once for each rank. */
  get workspaceCount(): number {
    return this.workspacesByKey.size;
  }

  private rankOf(order: number): RankDemand {
    const known = this.ranksByOrder.get(order);
    if (known !== undefined) return known;
    const rank = new RankDemand(order);
    this.ranksByOrder.set(order, rank);
    return rank;
  }

  private workspaceOf(rank: RankDemand, workspace: string, nowMs: number): WorkspaceDemand {
    const key = `${rank.order}/${workspace}`;
    const known = this.workspacesByKey.get(key);
    if (known?.rank === rank) return known;
    if (this.workspacesByKey.size >= maxWorkspaceEntries) this.dropSmallest(nowMs);
    this.createdCount += 1;
    // Different initial credits: of many workspaces with one request each, the part that there is room for is sent.
    const demand = new WorkspaceDemand(rank, (this.createdCount * evenStep) % 1);
    this.workspacesByKey.set(key, demand);
    return demand;
  }

  /** Makes room for a quarter of the entries at once, so that the cost for each request stays constant. */
  private dropSmallest(nowMs: number): void {
    const entries = [...this.workspacesByKey].sort(
      ([, a], [, b]) => b.requests.at(nowMs) - a.requests.at(nowMs),
    );
    const firstDropped = Math.floor(maxWorkspaceEntries * keptWhenFullFraction);
    for (const [key] of entries.slice(firstDropped)) this.workspacesByKey.delete(key);
  }
}
