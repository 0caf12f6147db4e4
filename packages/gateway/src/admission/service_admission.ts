/**
 * Admission to one service by rank, and fair between the workspaces of a rank. The note docs/design/admission.md explains
 * the steps.
 *
 * Waits alone cannot keep the ranks apart: with 3 to 5 slots a target's queue has one to three places. So the gateway
 * estimates which part of the requests the targets can take, divides it, and lets each workspace use its part.
 */
import type {Admission, AdmissionInput, RefusalReason} from './admit';
import {acceptedWaitMs, admitUpTo, minRetryAfterMs, refuseForDeadline} from './admit';
import type {RankDemand, WorkspaceDemand} from './recent_demand';
import {RecentDemand, demandDecayMs} from './recent_demand';
import {ServedFraction} from './served_fraction';
import {divideByRank, maxMinLevel} from './shares';

/** Shares are computed again after this time. */
const sharesIntervalMs = 250;
/**
 * Part of the wait that more urgent ranks accept that a less urgent request accepts, so that the last places of a queue stay
 * free for them.
 */
const waitLeftToLessUrgent = 0.75;
/** Part of the shortest accepted wait at which the queues are held. */
const wantedWaitRatio = 0.4;
/**
 * Part of the request itself that does not count as its workspace's demand. Levels are computed between requests, when the counts are
 * lower, and a workspace with few requests would seem to ask for more than its level.
 */
const ownRequestCount = 0.5;
/** Requests are refused for want of credit while the served fraction is below this; a few long waits at low load reach 0.95. */
const overloadFraction = 0.9;
/** Tolerance for the rounding of sums. */
const almostAll = 0.999;
/** Credit that is not used, because waits were too long, is kept up to this number of requests. */
const maxCredit = 2;
/** Refused callers come back within this time beyond the time until the first of them can be served. */
const maxRetrySpreadMs = 3_000;

/** A request that asks for admission. */
export interface AdmissionRequest {
  /** Place of the request's rank; 0 is the most urgent. */
  readonly rankOrder: number;
  readonly workspace: string;
  /** The priority of the input is not used: the rank takes its place. */
  readonly input: AdmissionInput;
}

/** What a rank gets, in the unit of its recent demand. */
interface RankLevels {
  /** Fair level of the workspaces in all that the rank gets. */
  readonly level: number;
  /** Fair level in the part that the rank gets whatever more urgent ranks ask for. */
  readonly guaranteedLevel: number;
  /** True if the rank gets a smaller part than all requests together. */
  readonly isBehindOthers: boolean;
  /** Longest wait of a request beyond the guaranteed part. */
  readonly maxWaitMs: number;
}

const unlimited: RankLevels = {
  level: Infinity,
  guaranteedLevel: Infinity,
  isBehindOthers: false,
  maxWaitMs: Infinity,
};

/** Decides on the requests of one gateway for one service. */
export class ServiceAdmission {
  private readonly demand = new RecentDemand();
  private readonly servedFraction = new ServedFraction();
  private levelsByRank: ReadonlyMap<RankDemand, RankLevels> = new Map();
  private wantedWaitMs = Infinity;
  private sharesUpdatedAtMs = Number.NEGATIVE_INFINITY;

  /** Decides on a request; `nowMs` is on the monotonic clock. */
  decide({rankOrder, workspace, input}: AdmissionRequest, nowMs: number): Admission {
    const ranked = {...input, priority: 0};
    const ownWaitMs = acceptedWaitMs(ranked);
    const byDeadlineMs = input.remainingMs - (input.expectedMs - input.waitMs);
    // No wait is short enough for a request whose service time alone exceeds its deadline, so it is no demand.
    if (byDeadlineMs <= 0) return admitWithoutWait(ranked);
    const usefulWaitMs = Math.min(ownWaitMs, byDeadlineMs);
    const demand = this.demand.record(rankOrder, workspace, usefulWaitMs, nowMs);
    this.servedFraction.observe(input.waitMs, this.wantedWaitMs, nowMs);
    this.updateShares(nowMs);
    const admission = this.judge(ranked, ownWaitMs, demand, nowMs);
    recordAdmission(admission, demand, nowMs);
    return admission;
  }

  /** Number of workspaces in memory, counted once for each rank. */
  get workspaceCount(): number {
    return this.demand.workspaceCount;
  }

  private judge(
    input: AdmissionInput,
    ownWaitMs: number,
    demand: WorkspaceDemand,
    nowMs: number,
  ): Admission {
    const levels = this.levelsByRank.get(demand.rank) ?? unlimited;
    const requests = demand.requests.at(nowMs) - ownRequestCount;
    addCredit(demand, levels, requests);
    const late = refuseForDeadline(input);
    if (late !== undefined) return late;
    if (this.servedFraction.hasRoom(nowMs) || demand.guaranteedCredit >= 1) {
      return admitUpTo(ownWaitMs, 'wait', input);
    }
    const acceptedMs = Math.min(ownWaitMs, levels.maxWaitMs);
    if (demand.credit < 1 && this.servedFraction.value < overloadFraction) {
      const reason = levels.isBehindOthers ? 'priority' : 'fair-share';
      const servedRequests = Math.min(requests, levels.level);
      return refuseUntilCredit(reason, acceptedMs, servedRequests, input, demand, nowMs);
    }
    const reason = input.waitMs <= ownWaitMs ? 'priority' : 'wait';
    return admitUpTo(acceptedMs, reason, input);
  }

  private updateShares(nowMs: number): void {
    if (nowMs - this.sharesUpdatedAtMs < sharesIntervalMs) return;
    this.sharesUpdatedAtMs = nowMs;
    this.demand.dropOld(nowMs);
    const ranks = this.demand.recentRanks(nowMs);
    const servedFraction = this.servedFraction.value;
    const rankDemands = ranks.map(({requests}) => requests.at(nowMs));
    const {smoothedValue} = this.servedFraction;
    const shares = divideByRank(rankDemands, servedFraction, smoothedValue);
    const demandsByRank = this.demand.sortedDemands(nowMs);
    let shortestWaitMs = Infinity;
    const levels = ranks.map((rank, index): readonly [RankDemand, RankLevels] => {
      const rankDemand = rankDemands[index] ?? 0;
      const {guaranteed, total} = shares[index] ?? {guaranteed: 0, total: 0};
      const demands = demandsByRank.get(rank) ?? [];
      // Workspaces that are no longer in memory are served in the same part as the others.
      const knownPart = demands.reduce((sum, demand) => sum + demand, 0) / rankDemand;
      const maxWaitMs = shortestWaitMs * waitLeftToLessUrgent;
      shortestWaitMs = Math.min(shortestWaitMs, rank.acceptedWaitMs);
      const rankLevels = {
        level: maxMinLevel(demands, total * knownPart),
        guaranteedLevel: maxMinLevel(demands, guaranteed * knownPart),
        isBehindOthers: total < rankDemand * Math.min(1, servedFraction) * almostAll,
        maxWaitMs,
      };
      return [rank, rankLevels];
    });
    this.levelsByRank = new Map(levels);
    this.wantedWaitMs = shortestWaitMs * wantedWaitRatio;
  }
}

/** Sends the request to a free slot if it may be answered in time, and refuses it otherwise. */
function admitWithoutWait(input: AdmissionInput): Admission {
  return refuseForDeadline(input) ?? admitUpTo(acceptedWaitMs(input), 'wait', input);
}

function addCredit(demand: WorkspaceDemand, levels: RankLevels, requests: number): void {
  const {level, guaranteedLevel} = levels;
  demand.credit = Math.min(maxCredit, demand.credit + Math.min(1, level / requests));
  const guaranteed = Math.min(1, guaranteedLevel / requests);
  demand.guaranteedCredit = Math.min(maxCredit, demand.guaranteedCredit + guaranteed);
}

function recordAdmission(admission: Admission, demand: WorkspaceDemand, nowMs: number): void {
  if (admission.kind === 'refuse') {
    demand.refusals.add(nowMs);
    return;
  }
  // Free slots are given without credit, so the credit must not become negative: it would outlast the overload.
  demand.credit = Math.max(0, demand.credit - 1);
  demand.guaranteedCredit = Math.max(0, demand.guaranteedCredit - 1);
}

/**
 * Refuses a request of a workspace that has used its part. It may come back when the part allows the next request, or
 * as much later as the refused requests of the workspace need, so that they do not return together.
 */
function refuseUntilCredit(
  reason: RefusalReason,
  acceptedMs: number,
  servedRequests: number,
  {jitter}: AdmissionInput,
  demand: WorkspaceDemand,
  nowMs: number,
): Admission {
  const intervalMs = demandDecayMs / Math.max(servedRequests, 1);
  const spreadMs = Math.min(maxRetrySpreadMs, intervalMs * (1 + demand.refusals.at(nowMs)));
  const nextMs = Math.min(maxRetrySpreadMs, intervalMs * (1 - demand.credit));
  const retryAfterMs = Math.max(minRetryAfterMs, nextMs) + jitter * spreadMs;
  return {kind: 'refuse', reason, acceptedWaitMs: acceptedMs, retryAfterMs};
}
