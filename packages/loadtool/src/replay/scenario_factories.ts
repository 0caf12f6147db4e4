/** Kinds of scenarios that `cuminsill-replay` supports. Add a new kind here. */
import type {ScenarioFactory} from './scenario';
import {startConfigurationScenario} from './configuration_scenario';
import {startSteeringScenario} from './steering_scenario';
import {startStoreLogScenario} from './store_log_scenario';

/** Scenario factories by the `kind` in the header of a trace. */
export const scenarioFactories: Readonly<Record<string, ScenarioFactory>> = {
  configuration: startConfigurationScenario,
  outage: startConfigurationScenario,
  steering: startSteeringScenario,
  'store-log': startStoreLogScenario,
};
