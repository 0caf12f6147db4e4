/** Starts the system that the benchmark measures: one instance with a store, an instance list and one target. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {StandinSettings} from '@cuminsill/standins';
import type {Catalog, Instance, SocketAddress} from '@cuminsill/types';
import type {MemoryMeasurement} from './bench_process_usage';
import {measureMemory, withMemoryReporter} from './bench_process_usage';
import type {ProcessCommand} from './managed_process';
import {ManagedProcess} from './managed_process';
import type {DaemonName} from './daemon_settings';
import {prepareDaemonCommands} from './daemon_settings';
import {OperatorClient, waitFor} from './operator_client';

/** Path of the benchmark's requests to the target. */
export const benchTargetPath = '/items/1';

const host = '127.0.0.1';
const firstPort = 22_000;
const readyTimeoutMs = 20_000;
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

/** A running instance with its target. */
export interface BenchInstance {
  readonly targetAddress: SocketAddress;
  /** Undefined without daemons. */
  readonly entryAddress?: SocketAddress;
  /** Body of the entry's answer to a look-up; without daemons, one of the same form. */
  readonly lookupBody: Buffer;
  /** The process that runs the target. */
  readonly targetProcess: ManagedProcess;
  /** Undefined without daemons. */
  readonly entryProcess?: ManagedProcess;
  /** Memory use of the daemons; empty without daemons. */
  measureMemory(): Promise<readonly MemoryMeasurement[]>;
  stop(): Promise<void>;
}

/** Returns a complete HTTP/1.1 request for a path as text. */
export function makeBenchRequestText(path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: bench\r\nx-request-timeout-ms: 10000\r\n\r\n`;
}

/** Starts the stand-ins and, with `startsDaemons`, the entry and control process of the instance. */
export async function startBenchInstance(
  directory: string,
  startsDaemons: boolean,
): Promise<BenchInstance> {
  const standins = await ManagedProcess.start(prepareStandins(directory));
  if (!startsDaemons) {
    const {host: address, port} = instance.callerAddress;
    const exampleAnswer = {instances: [{instanceId: instance.id, host: address, port}], maxAgeS: 5};
    const lookupBody = Buffer.from(JSON.stringify(exampleAnswer));
    return {
      targetAddress,
      lookupBody,
      targetProcess: standins,
      measureMemory: () => Promise.resolve([]),
      stop: async () => void (await standins.stop()),
    };
  }
  const daemons = await startDaemons(directory, standins);
  const lookupBody = await waitFor(
    'the answer to the first look-up',
    readyTimeoutMs,
    fetchLookupBody,
  );
  return {
    targetAddress,
    entryAddress: instance.callerAddress,
    lookupBody,
    targetProcess: standins,
    entryProcess: daemons.entry,
    measureMemory: () =>
      Promise.all(
        [daemons.entry, daemons.control].map(daemon =>
          measureMemory(daemon, memoryReportPath(directory, daemon.name)),
        ),
      ),
    stop: async () => {
      await Promise.all([daemons.entry.stop(), daemons.control.stop()]);
      await standins.stop();
    },
  };
}

function prepareStandins(directory: string) {
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
  const writeJson = (name: string, content: unknown) =>
    writeFileSync(join(directory, name), JSON.stringify(content));
  writeJson('catalog.json', catalog);
  writeJson('instances.json', [instance]);
  writeJson('standins.json', settings);
  return {
    name: 'stand-ins',
    file: join(__dirname, '../../standins/dist/bin/standins.js'),
    args: ['--settings', join(directory, 'standins.json')],
  };
}

async function startDaemons(
  directory: string,
  standins: ManagedProcess,
): Promise<Readonly<Record<DaemonName, ManagedProcess>>> {
  const operatorAddress = {host, port: firstPort + 3};
  const commands = prepareDaemonCommands(directory, {
    instance,
    deployment: {instances: [instance], operatorPorts: [operatorAddress.port]},
    environment: {
      store: standins.readyMessage['store'] as SocketAddress,
      instanceList: standins.readyMessage['instanceList'] as SocketAddress,
      operatorToken,
      peerKey: 'bench-shared-key-0123456789abcdef',
    },
  });
  const startWithMemoryReporter = (command: ProcessCommand) =>
    ManagedProcess.start(withMemoryReporter(command, memoryReportPath(directory, command.name)));
  const control = await startWithMemoryReporter(commands.control);
  const entry = await startWithMemoryReporter(commands.entry);
  const client = new OperatorClient(operatorAddress, operatorToken);
  await waitFor('the confirmation of the first catalog', readyTimeoutMs, () =>
    client.planAndConfirm({action: 'put-catalog', catalog}),
  );
  return {entry, control};
}

function memoryReportPath(directory: string, name: string): string {
  return join(directory, `${name}.memory.json`);
}

async function fetchLookupBody(): Promise<Buffer | undefined> {
  const {host: address, port} = instance.callerAddress;
  const response = await fetch(`http://${address}:${port}/v1/lookup?service=bench`);
  const body = Buffer.from(await response.arrayBuffer());
  return response.status === 200 ? body : undefined;
}
