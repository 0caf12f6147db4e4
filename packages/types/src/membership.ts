/** The view that an instance has of the other instances. */
import type {Instance, InstanceState} from './topology';

/** Whether an instance answers its peers. */
export type Reachability = 'reachable' | 'suspect' | 'unreachable';

/** One instance in the view of another. */
export interface Member {
  readonly instance: Instance;
  readonly state: InstanceState;
  readonly reachability: Reachability;
  /** Grows each time the instance restarts or refutes a suspicion. */
  readonly incarnation: number;
  /** Configuration version that the instance has in force. */
  readonly configVersion: number;
}
