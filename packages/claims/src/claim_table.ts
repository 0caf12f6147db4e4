/**
 * The claims of one shard, as its log says. Replay and the live owner apply the same records through the same
 * function, so a new owner reaches the state that the former owner had.
 */
import type {CheckpointClaim, RecordedClaim, RecordedOutcome} from './claim_records';
import type {ShardCheckpoint, ShardRecord} from './claim_records';
import {toKeptAnswer} from './claim_records';
import type {ClaimAnswer} from './claim_types';

/** How long a claim is kept, in milliseconds. After it the key may be claimed anew. */
export const retentionMs = 24 * 3_600_000;

/**
 * How long the id of a released claim is remembered, in milliseconds, so that a delayed duplicate of its request
 * is not granted. Longer than any send deadline.
 */
export const releasedIdMs = 600_000;

// `orphaned`: granted by a former owner and not reported since.
type HeldClaim = CheckpointClaim;

/**
 * Claims by key that are not in a segment, with the ids of recently released claims. Claims are replaced and never
 * changed, so that a claim that was written to a segment is dropped only if nothing happened to it since.
 */
export class ClaimTable {
  private readonly claims = new Map<string, HeldClaim>();
  private readonly released = new Map<string, number>();

  /** Restores the state of a checkpoint; an empty table when there is none. */
  static fromCheckpoint(checkpoint: ShardCheckpoint | undefined): ClaimTable {
    const table = new ClaimTable();
    for (const claim of checkpoint?.recent ?? []) table.claims.set(claim.key, claim);
    for (const {claimId, atMs} of checkpoint?.released ?? []) table.released.set(claimId, atMs);
    return table;
  }

  /** Applies one record of the log: first a takeover, then outcomes, then claims. */
  apply(record: ShardRecord): void {
    if (record.takeover) this.orphanOpenClaims();
    for (const outcome of record.outcomes) this.applyOutcome(outcome, record.atMs);
    for (const claim of record.claims) this.applyClaim(claim, record.atMs);
  }

  /** What is known of a key; undefined when no claim is recorded or its retention has passed. */
  answerFor(key: string, nowMs: number): ClaimAnswer | undefined {
    const claim = this.liveClaim(key, nowMs);
    return claim === undefined ? undefined : answerOf(claim);
  }

  /** Digest of the request that holds the key. */
  requestDigestOf(key: string, nowMs: number): string | undefined {
    return this.liveClaim(key, nowMs)?.requestDigest;
  }

  /** Whether the key is held by this claim, without an outcome. */
  isOpen(key: string, claimId: string): boolean {
    const claim = this.claims.get(key);
    return claim?.claimId === claimId && claim.status === 'open';
  }

  /** Whether the outcome is recorded already, so that no append is needed. */
  hasOutcome(outcome: RecordedOutcome): boolean {
    if (outcome.outcome === 'not-run') return this.released.has(outcome.claimId);
    const claim = this.claims.get(outcome.key);
    return claim?.claimId === outcome.claimId && claim.status === outcome.outcome;
  }

  /** Forgets claims past their retention and released ids past theirs. */
  forgetExpired(nowMs: number): void {
    for (const [key, claim] of this.claims) {
      if (isExpired(claim, nowMs)) this.claims.delete(key);
    }
    for (const [claimId, atMs] of this.released) {
      if (nowMs - atMs > releasedIdMs) this.released.delete(claimId);
    }
  }

  /** Whether the claim id was released a short while ago, so that it is not granted. */
  isReleased(claimId: string, nowMs: number): boolean {
    const releasedAtMs = this.released.get(claimId);
    return releasedAtMs !== undefined && nowMs - releasedAtMs <= releasedIdMs;
  }

  /** Number of claims. */
  size(): number {
    return this.claims.size;
  }

  /** Claims whose outcome is final. */
  finished(): readonly CheckpointClaim[] {
    return [...this.claims.values()].filter(({status}) => status === 'run' || status === 'unknown');
  }

  /** Drops claims that a segment holds now, except those that were changed since. */
  drop(claims: readonly CheckpointClaim[]): void {
    for (const claim of claims) {
      if (this.claims.get(claim.key) === claim) this.claims.delete(claim.key);
    }
  }

  /** The state as a checkpoint holds it, without the claims that go to a segment. */
  toCheckpoint(
    closing: ReadonlySet<CheckpointClaim>,
  ): Pick<ShardCheckpoint, 'recent' | 'released'> {
    return {
      recent: [...this.claims.values()].filter(claim => !closing.has(claim)),
      released: [...this.released].map(([claimId, atMs]) => ({claimId, atMs})),
    };
  }

  private orphanOpenClaims(): void {
    for (const [key, claim] of this.claims) {
      if (claim.status === 'open') this.claims.set(key, {...claim, status: 'orphaned'});
    }
  }

  private applyOutcome(outcome: RecordedOutcome, atMs: number): void {
    if (outcome.outcome === 'not-run') return this.release(outcome, atMs);
    const claim = this.claims.get(outcome.key);
    if (claim?.claimId !== outcome.claimId || claim.status === 'run') return;
    // An explicit "unknown" stays final for everything but the later news that the operation ran.
    this.claims.set(outcome.key, {...claim, status: outcome.outcome, answer: outcome.answer});
  }

  private release(outcome: RecordedOutcome, atMs: number): void {
    const claim = this.claims.get(outcome.key);
    if (claim?.claimId === outcome.claimId) {
      // "Not run" after "run" or "unknown" contradicts an earlier report of the same entry.
      if (claim.status === 'run' || claim.status === 'unknown') return;
      this.claims.delete(outcome.key);
    }
    this.released.set(outcome.claimId, atMs);
  }

  private applyClaim(claim: RecordedClaim, atMs: number): void {
    if (this.isReleased(claim.claimId, atMs)) return;
    if (this.liveClaim(claim.key, atMs) !== undefined) return;
    this.claims.set(claim.key, {...claim, claimedAtMs: atMs, status: 'open'});
  }

  private liveClaim(key: string, nowMs: number): HeldClaim | undefined {
    const claim = this.claims.get(key);
    return claim === undefined || isExpired(claim, nowMs) ? undefined : claim;
  }
}

/** What callers are told of a claim. */
export function answerOf(claim: CheckpointClaim): ClaimAnswer {
  if (claim.status === 'open') return {state: 'in-progress'};
  if (claim.status === 'run' && claim.answer !== undefined) {
    return {state: 'run', answer: toKeptAnswer(claim.answer)};
  }
  return {state: 'unknown'};
}

/** Whether the retention of a claim has passed. */
export function isExpired(claim: Pick<CheckpointClaim, 'claimedAtMs'>, nowMs: number): boolean {
  return nowMs - claim.claimedAtMs >= retentionMs;
}
