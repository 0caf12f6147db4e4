/** Limits that the promises of a soak are checked against. */

/** Bounds that the checks apply. */
export interface PromiseBounds {
  /** Time without disruptions after which the promises with a time bound hold again. */
  readonly stabilityMs: number;
  /** Time after which a leaving target gets no new requests. */
  readonly drainMs: number;
  /** Time within which gateways adopt a configuration. */
  readonly adoptionMs: number;
  /** Time within which a request ends that was sent while its connection was being closed. */
  readonly closeRaceMs: number;
  /** Time after which a request that its caller cancelled no longer reaches a target. */
  readonly cancelMs: number;
  /** Timeout of every route. */
  readonly timeoutMs: number;
  /** How long after the timeout an answer may still arrive. */
  readonly timeoutSlackMs: number;
  /** Retries that all gateways together may send, as a fraction of the requests in one window. */
  readonly retryRatio: number;
  /** Retries that are allowed in addition to that fraction. */
  readonly retrySlackRequests: number;
  readonly retryWindowMs: number;
  /** Maximum resident memory of a gateway process. */
  readonly maxMemoryBytes: number;
  /** Minimum fraction of the requests that are served after the last disruption. */
  readonly minServedFraction: number;
  /** Number of crashes by one request after which it should no longer be sent to targets. */
  readonly maxCrashes: number;
  /** Arrivals of that request at targets that are allowed later than `stabilityMs` after the last of these crashes. */
  readonly maxRetriesAfterCrashes: number;
  /** Multiple of the limit that a target names which it may get in a window. */
  readonly limitFactor: number;
  /** Requests that are allowed in addition to that multiple. */
  readonly limitSlackRequests: number;
  readonly limitWindowMs: number;
  /** Time after which a gateway that has seen a limit must keep to it. */
  readonly limitNoticeMs: number;
  /** Time after which a gateway that a target has asked for a pause must keep to it. */
  readonly pauseNoticeMs: number;
  /** Requests from one gateway that are allowed in the pause all the same. */
  readonly maxRequestsInPause: number;
}
