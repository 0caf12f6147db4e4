/** Settings of `cuminsill-standins`, and the start of the servers that they configure. */
import type {Catalog, Instance, SocketAddress, Target} from '@cuminsill/types';
import {systemTime} from '@cuminsill/utils';
import {IpAddress, numberBetween, wholeNumberBetween} from '@cuminsill/validation';
import {Schema} from 'effect';
import type {RunningServer} from './http_server';
import {InstanceList, startInstanceListServer} from './instance_list_server';
import type {ListedInstance} from './instance_list_server';
import {MemoryStore} from './memory_store';
import {startStoreServer} from './store_server';
import {TargetFleet} from './target_fleet';
import type {TargetMode} from './target_mode';
import {defaultTargetMode} from './target_mode';

const port = wholeNumberBetween(0, 65_535);
const milliseconds = numberBetween(0, 3_600_000);

const TargetModeChangeSchema = Schema.partial(
  Schema.Struct({
    state: Schema.Literal('serving', 'leaving', 'stopped'),
    serviceMs: milliseconds,
    spread: numberBetween(0, 1),
    coldRequests: wholeNumberBetween(0, 1_000_000),
    coldFactor: numberBetween(1, 1000),
    statedHealth: Schema.Literal('true', 'healthy', 'failing'),
    statedLoad: Schema.Literal('true', 'idle', 'full'),
    reportLagMs: milliseconds,
    crashMs: milliseconds,
  }),
);

/** Schema of the settings file of `cuminsill-standins`. Port 0 selects a free port. */
export const StandinSettingsSchema = Schema.Struct({
  host: IpAddress,
  storePort: port,
  instanceListPort: port,
  targetControlPort: port,
  /** Lag of the instance list in milliseconds. */
  instanceListLagMs: milliseconds,
  seed: wholeNumberBetween(0, 0x7fff_ffff),
  /** Behaviour of all targets. The default service time is the one of the service's contract. */
  targetMode: TargetModeChangeSchema,
  catalogFile: Schema.String,
  instancesFile: Schema.String,
});

/** Decoded settings of `cuminsill-standins`. */
export type StandinSettings = typeof StandinSettingsSchema.Type;

/** The settings and the content of the files that they name. */
export interface StandinInputs {
  readonly settings: StandinSettings;
  readonly catalog: Catalog;
  readonly instances: readonly Instance[];
}

/** Addresses and handles of the running stand-ins. */
export interface RunningStandins {
  readonly storeAddress: SocketAddress;
  readonly instanceListAddress: SocketAddress;
  readonly targetControlAddress: SocketAddress;
  readonly store: MemoryStore;
  readonly fleet: TargetFleet;
  close(): Promise<void>;
}

/** Starts the store, the instance list and all targets. */
export async function startStandins(inputs: StandinInputs): Promise<RunningStandins> {
  const {settings, catalog, instances} = inputs;
  const store = new MemoryStore();
  const listedInstances = instances.map((instance): ListedInstance => ({instance, state: 'live'}));
  const list = new InstanceList(listedInstances, settings.instanceListLagMs, systemTime);
  const serviceMs = new Map(
    catalog.services.map(service => [service.id, service.expectedServiceMs]),
  );
  const initialModeOf = (target: Target): TargetMode => ({
    ...defaultTargetMode,
    serviceMs: serviceMs.get(target.serviceId) ?? defaultTargetMode.serviceMs,
    ...settings.targetMode,
  });
  const fleet = await TargetFleet.start(catalog.targets, initialModeOf, settings.seed);
  const servers: readonly RunningServer[] = await Promise.all([
    startStoreServer(store, settings.host, settings.storePort),
    startInstanceListServer(list, settings.host, settings.instanceListPort),
    fleet.startControl(settings.host, settings.targetControlPort),
  ]);
  const [storeServer, listServer, controlServer] = servers as [
    RunningServer,
    RunningServer,
    RunningServer,
  ];
  return {
    storeAddress: storeServer.address,
    instanceListAddress: listServer.address,
    targetControlAddress: controlServer.address,
    store,
    fleet,
    close: async () => {
      await Promise.all([...servers.map(server => server.close()), fleet.close()]);
    },
  };
}
