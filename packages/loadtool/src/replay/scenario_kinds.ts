/** Kinds of scenarios that `cuminsill-replay` knows. A new kind is one more entry. */
import type {ScenarioKind} from './scenario';
import {startConfigurationScenario} from './configuration_scenario';
import {startSteeringScenario} from './steering_scenario';
import {startStoreLogScenario} from './store_log_scenario';

/** Kinds by the name in the header of a trace. */
export const scenarioKinds: Readonly<Record<string, ScenarioKind>> = {
  configuration: startConfigurationScenario,
  outage: startConfigurationScenario,
  steering: startSteeringScenario,
  'store-log': startStoreLogScenario,
};
