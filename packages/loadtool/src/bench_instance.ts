/** One instance with a store, an instance list and one target, as the bench measures it. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {StandinSettings} from '@cuminsill/standins';
import type {Catalog, Instance, SocketAddress} from '@cuminsill/types';
import type {MemoryMeasurement} from './bench_processes';
import {measureMemory, withMemoryReporter} from './bench_processes';
import type {ChildCommand} from './child_process';
import {RunningChild} from './child_process';
import type {DaemonName} from './daemon_settings';
import {writeDaemonSettings} from './daemon_settings';
import {OperatorsClient, waitFor} from './operators_client';

/** Path that the bench asks the target for. */
export const benchPath = '/items/1';

const host = '127.0.0.1';
const firstPort = 22_000;
const readyLimitMs = 20_000;
const operatorToken = 'bench-operator-token';
const regionId = 'bench';

const instance: Instance = {
  id: 'bench-1',
  regionId,
  failureDomainId: 'bench-1',
  callerAddress: {host, port: firstPort},
  entryPeerAddress: {host, port: firstPort + 1},
  controlPeerAddress: {host, port: firstPort + 2},
};

const targetAddress: SocketAddress = {host, port: firstPort + 10};

const catalog: Catalog = {
  regions: [{id: regionId, name: 'Bench'}],
  failureDomains: [{id: 'bench-1', regionId}],
  links: [],
  services: [
    {
      id: 'bench',
      trafficClass: 'interactive',
      idempotency: 'idempotent',
      defaultTimeoutMs: 10_000,
      notRunStatuses: [503],
      expectedServiceMs: 1,
    },
  ],
  targets: [
    {
      id: 'bench-target',
      serviceId: 'bench',
      siteId: 'bench-site',
      regionId,
      failureDomainId: 'bench-1',
      address: targetAddress,
      slots: 1000,
      maxConnections: 10_000,
    },
  ],
  clientBlocks: [{prefix: '127.0.0.0/8', regionId}],
  demands: [{serviceId: 'bench', callerRegionId: regionId, requestsPerS: 10_000}],
};

/** What the bench measures. */
export interface BenchInstance {
  readonly targetAddress: SocketAddress;
  /** Undefined without daemons. */
  readonly entryAddress?: SocketAddress;
  /** Body of a look-up answer of the entry, or one like it. */
  readonly lookupBody: Buffer;
  /** The process that runs the target. */
  readonly targetProcess: RunningChild;
  /** Undefined without daemons. */
  readonly entryProcess?: RunningChild;
  /** Memory of the daemons; empty without them. */
  measureMemory(): Promise<readonly MemoryMeasurement[]>;
  stop(): Promise<void>;
}

/** A whole HTTP/1.1 request for a path. */
export function benchRequestText(path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: bench\r\nx-request-timeout-ms: 10000\r\n\r\n`;
}

/** Starts the stand-ins and, with daemons, one instance that serves the target. */
export async function startBenchInstance(
  directory: string,
  withDaemons: boolean,
): Promise<BenchInstance> {
  const standins = await RunningChild.start(writeStandinFiles(directory));
  if (!withDaemons) {
    const {host: address, port} = instance.callerAddress;
    const example = {instances: [{instanceId: instance.id, host: address, port}], maxAgeS: 5};
    const lookupBody = Buffer.from(JSON.stringify(example));
    return {
      targetAddress,
      lookupBody,
      targetProcess: standins,
      measureMemory: () => Promise.resolve([]),
      stop: async () => void (await standins.stop()),
    };
  }
  const daemons = await startDaemons(directory, standins);
  const lookupBody = await waitFor('the first look-up', readyLimitMs, firstLookup);
  return {
    targetAddress,
    entryAddress: instance.callerAddress,
    lookupBody,
    targetProcess: standins,
    entryProcess: daemons.entry,
    measureMemory: () =>
      Promise.all(
        [daemons.entry, daemons.control].map(daemon =>
          measureMemory(daemon, memoryReportFile(directory, daemon.name)),
        ),
      ),
    stop: async () => {
      await Promise.all([daemons.entry.stop(), daemons.control.stop()]);
      await standins.stop();
    },
  };
}

function writeStandinFiles(directory: string) {
  const settings: StandinSettings = {
    host,
    storePort: 0,
    instanceListPort: 0,
    targetControlPort: 0,
    instanceListLagMs: 0,
    seed: 1,
    targetMode: {serviceMs: 0, spread: 0},
    catalogFile: 'catalog.json',
    instancesFile: 'instances.json',
  };
  const write = (name: string, content: unknown) =>
    writeFileSync(join(directory, name), JSON.stringify(content));
  write('catalog.json', catalog);
  write('instances.json', [instance]);
  write('standins.json', settings);
  return {
    name: 'stand-ins',
    file: join(__dirname, '../../standins/dist/bin/standins.js'),
    args: ['--settings', join(directory, 'standins.json')],
  };
}

async function startDaemons(
  directory: string,
  standins: RunningChild,
): Promise<Readonly<Record<DaemonName, RunningChild>>> {
  const operatorAddress = {host, port: firstPort + 3};
  const commands = writeDaemonSettings(directory, {
    instance,
    deployment: {instances: [instance], operatorPorts: [operatorAddress.port]},
    surroundings: {
      store: standins.ready['store'] as SocketAddress,
      instanceList: standins.ready['instanceList'] as SocketAddress,
      operatorToken,
      peerKey: 'bench-shared-key-0123456789abcdef',
    },
  });
  const start = (command: ChildCommand) =>
    RunningChild.start(withMemoryReporter(command, memoryReportFile(directory, command.name)));
  const control = await start(commands.control);
  const entry = await start(commands.entry);
  const client = new OperatorsClient(operatorAddress, operatorToken);
  await waitFor('the first catalog', readyLimitMs, () =>
    client.change({action: 'put-catalog', catalog}),
  );
  return {entry, control};
}

function memoryReportFile(directory: string, name: string): string {
  return join(directory, `${name}.memory.json`);
}

async function firstLookup(): Promise<Buffer | undefined> {
  const {host: address, port} = instance.callerAddress;
  const response = await fetch(`http://${address}:${port}/v1/lookup?service=bench`);
  const body = Buffer.from(await response.arrayBuffer());
  return response.status === 200 ? body : undefined;
}
