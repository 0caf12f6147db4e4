/**
 * Reports that processes of the system exchange: health of targets, suspected poison requests, loads, applied shares
 * and refusals.
 */

/** Health of a target as last observed. */
export type TargetHealth = 'healthy' | 'failing' | 'leaving';

/** One observation of a target by an instance that probes it. */
export interface TargetReport {
  readonly targetId: string;
  readonly health: TargetHealth;
  /** Requests in flight as the target states them. */
  readonly reportedInFlight: number;
  /** Milliseconds since the Unix epoch when the probe was answered. */
  readonly observedAtMs: number;
}

/** Evidence of a poison request: targets that stopped answering while they ran it. */
export interface PoisonSuspicion {
  /** Digest that identifies the request. */
  readonly fingerprint: string;
  /** Targets that went down; each start of a target counts, where its starts are known. */
  readonly targetIds: readonly string[];
  /** Those of them that went down under a request that was sent after an earlier loss was known. */
  readonly repeatTargetIds: readonly string[];
  /**
   * When each of the targets went down, in the order of `targetIds` and in milliseconds since the Unix epoch. Without it, all
   * of them went down ten minutes before the suspicion expires.
   */
  readonly lostAtMs?: readonly number[];
  /** The same for `repeatTargetIds`. */
  readonly repeatLostAtMs?: readonly number[];
  /** When the suspicion expires, in milliseconds since the Unix epoch. */
  readonly untilMs: number;
}

/** An answer without a server error to a request that others may suspect. */
export interface AnsweredRequest {
  /** Digest that identifies the request. */
  readonly fingerprint: string;
  /** When it was answered, in milliseconds since the Unix epoch. */
  readonly answeredAtMs: number;
}

/** Load of one entry process for one service and target region. */
export interface ServiceLoad {
  readonly serviceId: string;
  readonly targetRegionId: string;
  readonly inFlight: number;
  readonly queued: number;
  readonly heldSlots: number;
  /** Requests answered since the entry process started. */
  readonly answeredTotal: number;
  /** Requests refused since the entry process started. */
  readonly refusedTotal: number;
}

/** Requests of one entry process that are in flight at one site. */
export interface SiteLoad {
  readonly siteId: string;
  readonly inFlight: number;
}

/** Share of a service's requests from one caller region that an entry process sends to one target region. */
export interface AppliedShare {
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly targetRegionId: string;
  readonly share: number;
}

/** A refusal that an entry process keeps in memory, so that operators can ask for its cause. */
export interface RefusalRecord {
  readonly requestId: string;
  readonly code: number;
  /** Milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly serviceId: string;
  /** Cause of the refusal, for operators. */
  readonly detail: string;
}
