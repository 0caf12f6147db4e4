/** Generates the files of the example deployments under `examples/`. */
import type {Deployment, DeploymentName} from './example_deployments';
import {makeDeployment} from './example_deployments';
import {controlSettingsFor, entrySettingsFor} from './instance_settings';
import type {SharedInstanceSettings} from './instance_settings';
import type {StandinSettings} from './start_standins';

/** Name and content of a generated file. */
export interface ExampleFile {
  readonly name: string;
  readonly text: string;
}

const firstStandinPorts: Readonly<Record<DeploymentName, number>> = {
  boletines: 20_100,
  carpas: 21_100,
};

/** Settings of the stand-ins of a deployment. File names are relative to the settings file. */
export function standinSettings(name: DeploymentName): StandinSettings {
  const port = firstStandinPorts[name];
  return {
    host: '127.0.0.1',
    storePort: port,
    instanceListPort: port + 1,
    targetControlPort: port + 2,
    instanceListLagMs: 5000,
    seed: 1,
    targetMode: {coldRequests: 20, coldFactor: 2},
    catalogFile: 'catalog.json',
    instancesFile: 'instances.json',
  };
}

/** Settings with which `cuminsill-load` sends the expected demand of a deployment for 30 s. */
function loadGeneratorSettings(deployment: Deployment): object {
  const demand = deployment.catalog.demands.reduce((sum, entry) => sum + entry.requestsPerS, 0);
  return {
    catalogFile: 'catalog.json',
    lookupAddresses: deployment.instances.map(instance => instance.callerAddress),
    ratePerS: Math.round(demand),
    durationS: 30,
    maxRequests: 1_000_000,
    maxInFlight: 10_000,
    callersPerRegion: 20,
    seed: 1,
  };
}

/** Key and tokens of the example settings. They are public: a real deployment needs its own. */
const exampleSecrets = {
  peerKey: 'example-peer-key-0123456789abcdef',
  operatorToken: 'example-operator-token',
  viewerToken: 'example-viewer-token',
};

/** Settings shared by all instances, with the addresses of the deployment's stand-ins. */
export function exampleSharedSettings(name: DeploymentName): SharedInstanceSettings {
  const {host, storePort, instanceListPort} = standinSettings(name);
  return {
    ...exampleSecrets,
    store: {host, port: storePort},
    instanceList: {host, port: instanceListPort},
  };
}

/** Settings files of both daemons of the first instance. */
function firstInstanceSettings(deployment: Deployment): ReadonlyArray<readonly [string, unknown]> {
  const sharedSettings = exampleSharedSettings(deployment.name);
  return deployment.instances.slice(0, 1).flatMap(instance => [
    ['entry.json', entrySettingsFor(instance, sharedSettings)],
    ['control.json', controlSettingsFor(deployment, instance, sharedSettings)],
  ]);
}

/** All files of one example deployment. */
export function exampleFiles(name: DeploymentName): readonly ExampleFile[] {
  const deployment: Deployment = makeDeployment(name);
  const contents: ReadonlyArray<readonly [string, unknown]> = [
    ['catalog.json', deployment.catalog],
    ['instances.json', deployment.instances],
    ['standins.json', standinSettings(name)],
    ['load.json', loadGeneratorSettings(deployment)],
    ...firstInstanceSettings(deployment),
  ];
  return contents.map(([file, content]) => ({
    name: file,
    text: `${JSON.stringify(content, null, 2)}\n`,
  }));
}
