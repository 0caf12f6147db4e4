/**
 * The claims of one shard in memory, derived from its log. Replay and normal operation apply records through the same
 * function, so a new owner reaches the state that the former owner had.
 */
import type {RecordedClaim, RecordedOutcome, TrackedClaim} from './claim_records';
import type {ShardCheckpoint, ShardRecord} from './claim_records';
import {toStoredResponse} from './claim_records';
import type {ClaimAnswer} from './claim_types';

/** How long a claim is kept, in milliseconds. Afterwards the key can be claimed again. */
export const claimRetentionMs = 24 * 3_600_000;

/**
 * How long the id of a released claim is kept, in milliseconds, so that a delayed duplicate of its request is not
 * granted. No accepted send deadline lies further ahead.
 */
export const releasedIdRetentionMs = 600_000;

/** A claim that holds its key: as long as it is in the table and not expired, no other claim of the key is granted. */
type HeldClaim = TrackedClaim;

/**
 * The claims that are not in a segment, by key, and the ids of recently released claims. Claim objects are immutable:
 * an update replaces the object. So the table can tell whether a claim has changed since it was written to a segment.
 */
export class ClaimTable {
  private readonly claimsByKey = new Map<string, HeldClaim>();
  // Values: the time of the release in milliseconds since the Unix epoch.
  private readonly releasedIds = new Map<string, number>();

  /** Restores the table from a checkpoint. Without a checkpoint, returns an empty table. */
  static fromCheckpoint(checkpoint: ShardCheckpoint | undefined): ClaimTable {
    const table = new ClaimTable();
    for (const claim of checkpoint?.recent ?? []) table.claimsByKey.set(claim.key, claim);
    for (const {claimId, atMs} of checkpoint?.released ?? []) table.releasedIds.set(claimId, atMs);
    return table;
  }

  /** Applies one log record: first its takeover, then its outcomes, then its claims. */
  apply(record: ShardRecord): void {
    if (record.takeover) this.orphanOpenClaims();
    for (const outcome of record.outcomes) this.applyOutcome(outcome, record.atMs);
    for (const claim of record.claims) this.applyGrant(claim, record.atMs);
  }

  /** Returns what is known of a key, or undefined if the table has no claim for it or the claim has expired. */
  answerFor(key: string, nowMs: number): ClaimAnswer | undefined {
    const claim = this.unexpiredClaim(key, nowMs);
    return claim === undefined ? undefined : answerOf(claim);
  }

  /** Returns the digest of the request whose claim holds the key. */
  requestDigestOf(key: string, nowMs: number): string | undefined {
    return this.unexpiredClaim(key, nowMs)?.requestDigest;
  }

  /** Whether this claim holds the key and no outcome has been recorded for it. */
  isOpen(key: string, claimId: string): boolean {
    const claim = this.claimsByKey.get(key);
    return claim?.claimId === claimId && claim.status === 'open';
  }

  /** Whether the outcome has already been recorded, so that no append is needed. */
  hasOutcome(outcome: RecordedOutcome): boolean {
    if (outcome.outcome === 'not-run') return this.releasedIds.has(outcome.claimId);
    const claim = this.claimsByKey.get(outcome.key);
    return claim?.claimId === outcome.claimId && claim.status === outcome.outcome;
  }

  /** Removes claims and released ids whose retention has ended. */
  removeExpired(nowMs: number): void {
    for (const [key, claim] of this.claimsByKey) {
      if (isExpired(claim, nowMs)) this.claimsByKey.delete(key);
    }
    for (const [claimId, atMs] of this.releasedIds) {
      if (nowMs - atMs > releasedIdRetentionMs) this.releasedIds.delete(claimId);
    }
  }

  /** Whether the claim id was released within {@link releasedIdRetentionMs} and must not be granted. */
  isReleased(claimId: string, nowMs: number): boolean {
    const releasedAtMs = this.releasedIds.get(claimId);
    return releasedAtMs !== undefined && nowMs - releasedAtMs <= releasedIdRetentionMs;
  }

  /** Number of claims in the table, including expired ones that have not been removed yet. */
  claimCount(): number {
    return this.claimsByKey.size;
  }

  /** Claims whose outcome was reported as `run` or `unknown`. */
  finishedClaims(): readonly TrackedClaim[] {
    return [...this.claimsByKey.values()].filter(
      ({status}) => status === 'run' || status === 'unknown',
    );
  }

  /** Removes claims that are now in a segment, except those that changed after the segment was built. */
  removeArchived(claims: readonly TrackedClaim[]): void {
    for (const claim of claims) {
      if (this.claimsByKey.get(claim.key) === claim) this.claimsByKey.delete(claim.key);
    }
  }

  /** Returns the table's part of a checkpoint, without the claims that move to a segment. */
  toCheckpoint(
    archivedClaims: ReadonlySet<TrackedClaim>,
  ): Pick<ShardCheckpoint, 'recent' | 'released'> {
    return {
      recent: [...this.claimsByKey.values()].filter(claim => !archivedClaims.has(claim)),
      released: [...this.releasedIds].map(([claimId, atMs]) => ({claimId, atMs})),
    };
  }

  private orphanOpenClaims(): void {
    for (const [key, claim] of this.claimsByKey) {
      if (claim.status === 'open') this.claimsByKey.set(key, {...claim, status: 'orphaned'});
    }
  }

  private applyOutcome(outcome: RecordedOutcome, atMs: number): void {
    if (outcome.outcome === 'not-run') return this.release(outcome, atMs);
    const claim = this.claimsByKey.get(outcome.key);
    if (claim?.claimId !== outcome.claimId || claim.status === 'run') return;
    // A reported "unknown" is final, except that a later report can still say that the operation ran.
    this.claimsByKey.set(outcome.key, {...claim, status: outcome.outcome, answer: outcome.answer});
  }

  private release(outcome: RecordedOutcome, atMs: number): void {
    const claim = this.claimsByKey.get(outcome.key);
    if (claim?.claimId === outcome.claimId) {
      // A "not run" after "run" or "unknown" contradicts an earlier report of the same entry, so it is ignored.
      if (claim.status === 'run' || claim.status === 'unknown') return;
      this.claimsByKey.delete(outcome.key);
    }
    this.releasedIds.set(outcome.claimId, atMs);
  }

  private applyGrant(claim: RecordedClaim, atMs: number): void {
    if (this.isReleased(claim.claimId, atMs)) return;
    if (this.unexpiredClaim(claim.key, atMs) !== undefined) return;
    this.claimsByKey.set(claim.key, {...claim, claimedAtMs: atMs, status: 'open'});
  }

  private unexpiredClaim(key: string, nowMs: number): HeldClaim | undefined {
    const claim = this.claimsByKey.get(key);
    return claim === undefined || isExpired(claim, nowMs) ? undefined : claim;
  }
}

/** Returns the answer to a request for the key of a claim. */
export function answerOf(claim: TrackedClaim): ClaimAnswer {
  if (claim.status === 'open') return {state: 'in-progress'};
  if (claim.status === 'run' && claim.answer !== undefined) {
    return {state: 'run', answer: toStoredResponse(claim.answer)};
  }
  return {state: 'unknown'};
}

/** Whether the retention of a claim has ended. */
export function isExpired(claim: Pick<TrackedClaim, 'claimedAtMs'>, nowMs: number): boolean {
  return nowMs - claim.claimedAtMs >= claimRetentionMs;
}
