/** Membership: how one instance sees the other instances. */
import type {Instance, InstanceState} from './topology';

/** Whether an instance answers heartbeats, as its peers see it. */
export type Reachability = 'reachable' | 'suspect' | 'unreachable';

/** One instance as another instance sees it. */
export interface Member {
  readonly instance: Instance;
  readonly state: InstanceState;
  readonly reachability: Reachability;
  /** Grows each time the instance restarts or refutes a suspicion. */
  readonly incarnation: number;
  /** Configuration version that the instance has adopted. */
  readonly configVersion: number;
}
