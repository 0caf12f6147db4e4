/**
 * A gateway's role for one workspace. The first-ranked gateway is the owner, but several may take themselves for it while
 * heartbeats spread or links are down. A new owner therefore claims the workspace from those that may grant: the next
 * gateways in the ranking, which may have been owners before it came, and the higher-ranked ones that it presumes dead, which
 * may hear it although it does not hear them. Until they have answered or `claimTimeoutMs` has passed, it grants a small part.
 */
import type {QuotaClaim} from './quota_messages';
import type {QuotaFleet, QuotaPeer} from './quota_fleet';
import {rankOwners, ranksBefore} from './quota_fleet';
import {
  claimIntervalMs,
  claimLifetimeMs,
  claimRetransmitMs,
  claimTimeoutMs,
  presumedDeadAgeMs,
  skipOwnerMs,
} from './quota_rules';

/** What a gateway is to a workspace. */
export type OwnerRole =
  | 'owner'
  /** First-ranked, waits for answers to its claims. */
  | 'claiming'
  /** Second-ranked behind a gateway that counts as alive. */
  | 'standby'
  /** Ranked lower, or stopping. */
  | 'fallback';

/** Claims go to this many gateways below and above in the ranking; several rarely come or go at the same time. */
const claimedPerSide = 2;

interface Rival {
  readonly firstAskedAtMs: number;
  lastAskedAtMs: number;
  hasAnswered: boolean;
}

interface ReceivedClaim {
  readonly share: number;
  readonly untilMs: number;
}

/** Decides the role; all times are monotonic. */
export class OwnerTerm {
  private currentRole: OwnerRole = 'fallback';
  private firstPresent: string | undefined;
  private readonly rivals = new Map<string, Rival>();
  /** Higher-ranked gateways that have sent a message, with how long that counts as a sign of life. */
  private readonly presentUntilMs = new Map<string, number>();
  private readonly receivedClaims = new Map<string, ReceivedClaim>();

  /**
   * @param claimId Identifies the claims of this term.
   * @param sendClaim Sends a claim to a gateway.
   */
  constructor(
    private readonly workspace: string,
    private readonly fleet: QuotaFleet,
    private readonly claimId: number,
    private readonly sendClaim: (receiver: string, claim: QuotaClaim) => void,
  ) {}

  get role(): OwnerRole {
    return this.currentRole;
  }

  /** The gateway that this one takes for the owner; undefined when it is this one. */
  get otherOwner(): string | undefined {
    return this.firstPresent;
  }

  /**
   * Updates the role and sends claims.
   * @param share Fraction of the limit that this gateway would grant.
   * @returns True when the gateway has become or ceased to be first-ranked, so that its bucket is void.
   */
  update(nowMs: number, share: number): boolean {
    const peers = this.fleet.peers();
    const {ownName} = this.fleet;
    const superiors = peers.filter(({name}) => ranksBefore(this.workspace, name, ownName));
    const present = superiors.filter(peer => this.isPresent(peer, nowMs));
    const wasFirst = isFirst(this.currentRole);
    if (present.length > 0 || this.fleet.isLeaving()) {
      this.standBehind(present, peers);
      return wasFirst;
    }
    this.firstPresent = undefined;
    if (!wasFirst) {
      this.currentRole = 'claiming';
      this.rivals.clear();
    }
    const inferiors = peers.filter(peer => !superiors.includes(peer));
    const isSettled = this.claimFrom(superiors, inferiors, nowMs, share);
    if (isSettled) this.currentRole = 'owner';
    return !wasFirst;
  }

  /** Records a sign of life of a gateway that ranks higher. */
  recordPresent(name: string, nowMs: number): void {
    if (ranksBefore(this.workspace, name, this.fleet.ownName)) {
      this.presentUntilMs.set(name, nowMs + skipOwnerMs);
    }
  }

  /** Records the claim of a lower-ranked gateway that does not hear this one. */
  recordClaim(name: string, share: number, nowMs: number): void {
    this.receivedClaims.set(name, {share, untilMs: nowMs + claimLifetimeMs});
  }

  /** Fraction of the limit that lower-ranked gateways have claimed. */
  claimedShare(nowMs: number): number {
    let sum = 0;
    for (const [name, {share, untilMs}] of this.receivedClaims) {
      if (untilMs <= nowMs) this.receivedClaims.delete(name);
      else sum += share;
    }
    return Math.min(1, sum);
  }

  /** Records the answer to a claim; returns true if it is the first one of this gateway. */
  recordAnswer(name: string, claimId: number): boolean {
    const rival = this.rivals.get(name);
    if (rival === undefined || rival.hasAnswered || claimId !== this.claimId) return false;
    rival.hasAnswered = true;
    return true;
  }

  private isPresent({name, heartbeatAgeMs, isLeaving}: QuotaPeer, nowMs: number): boolean {
    if (isLeaving) return false;
    if (heartbeatAgeMs <= presumedDeadAgeMs) return true;
    return (this.presentUntilMs.get(name) ?? Number.NEGATIVE_INFINITY) > nowMs;
  }

  private standBehind(present: readonly QuotaPeer[], peers: readonly QuotaPeer[]): void {
    const isNext = present.length === 1 && !this.fleet.isLeaving();
    const alive = peers.filter(peer => !peer.isLeaving && peer.heartbeatAgeMs <= presumedDeadAgeMs);
    this.currentRole = isNext ? 'standby' : 'fallback';
    this.firstPresent = rankOwners(this.workspace, present.length > 0 ? present : alive)[0]?.name;
    this.rivals.clear();
  }

  /** Sends due claims; returns true when no answer is awaited. */
  private claimFrom(
    superiors: readonly QuotaPeer[],
    inferiors: readonly QuotaPeer[],
    nowMs: number,
    share: number,
  ): boolean {
    const alive = inferiors.filter(({heartbeatAgeMs}) => heartbeatAgeMs <= presumedDeadAgeMs);
    const below = rankOwners(this.workspace, alive).slice(0, claimedPerSide);
    const above = rankOwners(this.workspace, superiors).slice(0, claimedPerSide);
    const belowSettled = below.map(({name}) => this.claimFromOne(name, nowMs, 0, Infinity));
    const aboveSettled = above.map(({name, isLeaving}) =>
      this.claimFromOne(name, nowMs, isLeaving ? 0 : share, isLeaving ? Infinity : claimIntervalMs),
    );
    return [...belowSettled, ...aboveSettled].every(isSettled => isSettled);
  }

  private claimFromOne(name: string, nowMs: number, share: number, intervalMs: number): boolean {
    const rival = this.rivals.get(name) ?? {
      firstAskedAtMs: nowMs,
      lastAskedAtMs: Number.NEGATIVE_INFINITY,
      hasAnswered: false,
    };
    this.rivals.set(name, rival);
    const isSettled = rival.hasAnswered || nowMs - rival.firstAskedAtMs >= claimTimeoutMs;
    if (nowMs - rival.lastAskedAtMs >= (isSettled ? intervalMs : claimRetransmitMs)) {
      rival.lastAskedAtMs = nowMs;
      this.sendClaim(name, {workspace: this.workspace, claim: this.claimId, share});
    }
    return isSettled;
  }
}

function isFirst(role: OwnerRole): boolean {
  return role === 'owner' || role === 'claiming';
}
