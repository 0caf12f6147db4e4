/**
 * What instances learn about targets, and what they tell each other about it.
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

/** Targets that stopped answering while they ran one request. */
export interface PoisonSuspicion {
  /** Digest that identifies the request. */
  readonly fingerprint: string;
  readonly targetIds: readonly string[];
  /** Milliseconds since the Unix epoch after which the suspicion is forgotten. */
  readonly untilMs: number;
}

/** Load of one entry for one service and target region. */
export interface ServiceLoad {
  readonly serviceId: string;
  readonly targetRegionId: string;
  readonly inFlight: number;
  readonly queued: number;
  readonly heldSlots: number;
  /** Since the entry started. */
  readonly answeredTotal: number;
  /** Since the entry started. */
  readonly refusedTotal: number;
}

/** Requests of one entry that are in flight at one site. */
export interface SiteLoad {
  readonly siteId: string;
  readonly inFlight: number;
}

/** Share of a service's requests from one caller region that an entry sends to one target region. */
export interface AppliedShare {
  readonly serviceId: string;
  readonly callerRegionId: string;
  readonly targetRegionId: string;
  readonly share: number;
}

/** A refusal as an entry remembers it. */
export interface RefusalRecord {
  readonly requestId: string;
  readonly code: number;
  /** Milliseconds since the Unix epoch. */
  readonly atMs: number;
  readonly serviceId: string;
  /** What led to the refusal, in plain words. */
  readonly detail: string;
}
