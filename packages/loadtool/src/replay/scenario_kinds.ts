/** Kinds of scenarios that `cuminsill-replay` knows. A new kind is one more entry. */
import type {ScenarioKind} from './scenario';
import {startSteeringScenario} from './steering_scenario';
import {startStoreLogScenario} from './store_log_scenario';

/** Kinds by the name in the header of a trace. */
export const scenarioKinds: Readonly<Record<string, ScenarioKind>> = {
  steering: startSteeringScenario,
  'store-log': startStoreLogScenario,
};
