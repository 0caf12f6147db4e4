/** Behaviour and counters of a stand-in target. */

/** Behaviour of a target. It can change while the target runs. */
export interface TargetMode {
  /** `leaving` is announced in answers and in the health; `stopped` closes all connections and refuses new ones. */
  readonly state: 'serving' | 'leaving' | 'stopped';
  /** Mean service time of a request in milliseconds. */
  readonly serviceMs: number;
  /** Service times are uniformly distributed between `serviceMs * (1 - spread)` and `serviceMs * (1 + spread)`. */
  readonly spread: number;
  /** Number of slower requests after each start. */
  readonly coldRequests: number;
  /** Factor by which the service time of these requests is longer. */
  readonly coldFactor: number;
  /** Health that the target reports; `true` reports the actual one. */
  readonly statedHealth: 'true' | 'healthy' | 'failing';
  /** Load that the target reports; `true` reports the actual one. */
  readonly statedLoad: 'true' | 'idle' | 'full';
  /** Lag of the reported health and load in milliseconds. */
  readonly reportLagMs: number;
  /** Time for which a crashed target refuses connections, in milliseconds. */
  readonly crashMs: number;
}

/** Behaviour of a target without faults. */
export const defaultTargetMode: TargetMode = {
  state: 'serving',
  serviceMs: 20,
  spread: 0.3,
  coldRequests: 0,
  coldFactor: 3,
  statedHealth: 'true',
  statedLoad: 'true',
  reportLagMs: 0,
  crashMs: 2000,
};

/** Counters of a target since its start. */
export interface TargetStatistics {
  readonly targetId: string;
  readonly slots: number;
  readonly inFlight: number;
  readonly peakInFlight: number;
  /** Most requests at a time, including rejected ones. Above `slots`, the target was overloaded. */
  readonly peakOffered: number;
  readonly answered: number;
  readonly shed: number;
  /** Requests whose caller closed the connection before the answer was complete. */
  readonly cancelled: number;
  readonly deadlineExceeded: number;
  /** Requests in flight that were lost in a stop or a crash of the target. */
  readonly cut: number;
  readonly crashes: number;
  readonly refusedConnections: number;
  /** Longest time from the start of leaving to a new request, in milliseconds. */
  readonly lastWorkAfterLeavingMs: number;
  /** Number of runs of each idempotency key. */
  readonly runs: Readonly<Record<string, number>>;
}
