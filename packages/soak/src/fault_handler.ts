/** What the fault handlers share. */
import type {PlannedFault} from './fault_plan';
import type {SoakDeployment} from './soak_deployment';

/** Injects one fault; resolves when it is over. */
export type FaultHandler = (deployment: SoakDeployment, fault: PlannedFault) => Promise<void>;

/** The item at a fraction from 0 to 1 of a list. */
export function pickFrom<Item>(items: readonly Item[], fraction: number): Item | undefined {
  return items[Math.floor(fraction * items.length)];
}
