/** How a stand-in target behaves, and what it has counted. */

/** Behaviour of one target; it can be changed while the target runs. */
export interface TargetMode {
  /** `leaving` says so in answers and in health; `stopped` closes all connections and refuses new ones. */
  readonly state: 'serving' | 'leaving' | 'stopped';
  /** Mean time for one request in milliseconds. */
  readonly serviceMs: number;
  /** Service times are spread evenly over `serviceMs` times 1 - spread to 1 + spread. */
  readonly spread: number;
  /** Requests from the start on, or from a return, that are slower. */
  readonly coldRequests: number;
  /** Factor on the service time of cold requests. */
  readonly coldFactor: number;
  /** Health that is stated instead of the true one. */
  readonly statedHealth: 'true' | 'healthy' | 'failing';
  /** Load that is stated instead of the true one. */
  readonly statedLoad: 'true' | 'idle' | 'full';
  /** Age of the stated health and load in milliseconds. */
  readonly reportLagMs: number;
  /** Time in milliseconds during which a crashed target refuses connections. */
  readonly crashMs: number;
}

/** A target that works without faults. */
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

/** What one target has counted since its start. */
export interface TargetRecord {
  readonly targetId: string;
  readonly slots: number;
  readonly inFlight: number;
  readonly peakInFlight: number;
  /** Most requests offered at one time, with those that were shed; above `slots` when it was overfilled. */
  readonly peakOffered: number;
  readonly answered: number;
  readonly shed: number;
  /** Requests whose caller closed the connection before the answer was complete. */
  readonly cancelled: number;
  readonly deadlineExceeded: number;
  /** Requests in flight that a stop or a crash of the target ended. */
  readonly cut: number;
  readonly crashes: number;
  readonly refusedConnections: number;
  /** Longest time in milliseconds between the start of leaving and new work that arrived. */
  readonly lastWorkAfterLeavingMs: number;
  /** How often each idempotency key was run. */
  readonly runs: Readonly<Record<string, number>>;
}
