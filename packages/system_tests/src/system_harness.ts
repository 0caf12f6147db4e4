/** Runs the test deployment: daemon processes, with stand-ins for the store, the instance list and the targets. */
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {shardOfKey} from '@cuminsill/claims';
import type {EntrySettingsFile, ControlSettingsFile, RunningServer} from '@cuminsill/standins';
import {
  findFreePorts,
  InstanceList,
  processLoopbackAddress,
  parseJsonBody,
  MemoryStore,
  startInstanceListServer,
  startStoreServer,
  TargetFleet,
  defaultTargetMode,
} from '@cuminsill/standins';
import type {Instance, SocketAddress} from '@cuminsill/types';
import {ownerByRendezvous, systemTime} from '@cuminsill/utils';
import {sendCallerRequest} from './caller_client';
import type {DaemonName} from './daemon_process';
import {DaemonProcess} from './daemon_process';
import {confirmPlan, getStatus, requestPlan} from './operator_client';
import type {TestDeployment} from './test_deployment';
import {
  makeTestDeployment,
  operatorToken,
  peerKey,
  portCount,
  viewerToken,
} from './test_deployment';
import {waitUntil} from './wait_until';

/** Body of the `/readyz` response. */
export interface Readiness {
  readonly ready: boolean;
  readonly state: string;
  readonly configVersion: number;
}

/** Number of claim shards; few, so that every owner has several: instance-1 and instance-3 own two each. */
const claimShards = 4;

/** Time for which callers may use a look-up answer, in seconds (its max-age). */
export const lookupTtlS = 1;

// The times are shorter than the defaults so that stops and slow starts take little test time. Only the stop margin of
// the entry is longer, because on a slow machine it takes longer until all instances know that an entry is leaving.
const entryTimings = {lookupTtlS, stopMarginS: 4, slowStartStepS: 0.1, probeIntervalS: 0.3};
const controlTimings = {stopMarginS: 0.5, heartbeatIntervalS: 0.3, instanceListIntervalS: 0.5};

/** A deployment that is running in child processes, with its stand-ins in this process. */
export class SystemHarness {
  readonly store = new MemoryStore();
  private readonly processes = new Map<string, DaemonProcess>();
  /** Output of processes that were replaced by a later start. */
  private outputOfReplacedProcesses = '';

  private constructor(
    readonly deployment: TestDeployment,
    readonly fleet: TargetFleet,
    private readonly directory: string,
    private readonly servers: RunningServer[],
  ) {}

  /** Starts the stand-ins but no instances. */
  static async start(): Promise<SystemHarness> {
    const host = processLoopbackAddress();
    const deployment = makeTestDeployment(host, await findFreePorts(host, portCount));
    const fleet = await TargetFleet.start(
      deployment.catalog.targets,
      () => ({...defaultTargetMode, serviceMs: 10, spread: 0}),
      1,
    );
    const directory = mkdtempSync(join(tmpdir(), 'cuminsill-system-'));
    const harness = new SystemHarness(deployment, fleet, directory, []);
    const instanceList = new InstanceList(
      deployment.instances.map(instance => ({instance, state: 'live' as const})),
      0,
      systemTime,
    );
    // A different address from the daemons', so that the stand-ins cannot take a port that was found free for a daemon.
    const storeServer = await startStoreServer(harness.store, '127.0.0.1', 0);
    const listServer = await startInstanceListServer(instanceList, '127.0.0.1', 0);
    harness.servers.push(storeServer, listServer);
    harness.writeSettings(storeServer.address, listServer.address);
    return harness;
  }

  /** All instances of the deployment. */
  get instances(): readonly Instance[] {
    return this.deployment.instances;
  }

  /** The instance with the given index. */
  instance(index: number): Instance {
    return this.instances[index] as Instance;
  }

  /** Address of the operator API of an instance. */
  operatorAddress(index: number): SocketAddress {
    return this.deployment.operatorAddresses[index] as SocketAddress;
  }

  /** The most recently started process of a daemon. */
  process(index: number, daemon: DaemonName): DaemonProcess {
    return this.processes.get(this.processName(index, daemon)) as DaemonProcess;
  }

  /** Starts both processes of an instance and waits until they have logged that they are ready. */
  async startInstance(index: number): Promise<void> {
    await Promise.all([this.startDaemon(index, 'control'), this.startDaemon(index, 'entry')]);
  }

  /** Starts one process of an instance and waits until it has logged that it is ready. */
  async startDaemon(index: number, daemon: DaemonName): Promise<void> {
    const name = this.processName(index, daemon);
    this.outputOfReplacedProcesses += this.processes.get(name)?.output() ?? '';
    const daemonProcess = new DaemonProcess(daemon, this.settingsFile(index, daemon));
    this.processes.set(name, daemonProcess);
    await daemonProcess.waitUntilReady();
  }

  /** Starts all instances, confirms the catalog and waits until all instances serve with it. */
  async startAll(): Promise<void> {
    await Promise.all(this.instances.map((_, index) => this.startInstance(index)));
    await waitUntil(() => this.putCatalog(0));
    await this.waitUntilAllServing(1);
  }

  /** Plans and confirms the catalog; returns the new configuration version, or undefined if a step is refused. */
  async putCatalog(index: number): Promise<number | undefined> {
    const {catalog} = this.deployment;
    const plan = await requestPlan(this.operatorAddress(index), {action: 'put-catalog', catalog});
    if (plan.status !== 200) return undefined;
    const reply = await confirmPlan(this.operatorAddress(index), plan.body);
    return reply.status < 300 ? reply.body.configVersion : undefined;
  }

  /** Fetches `/readyz` of an instance. Rejects if there is no valid response. */
  async readiness(index: number): Promise<Readiness> {
    const result = await sendCallerRequest(this.instance(index).callerAddress, {path: '/readyz'});
    const readiness = parseJsonBody<Readiness>(result.body);
    if (readiness === undefined) throw new Error('no valid response to /readyz');
    return readiness;
  }

  /** Waits until every instance is ready with at least this version, sees all instances serving and runs operations. */
  async waitUntilAllServing(version: number): Promise<void> {
    await Promise.all(
      this.instances.map((_, index) =>
        waitUntil(async () => {
          const {ready, configVersion} = await this.readiness(index);
          if (!ready || configVersion < version) return undefined;
          const {instances} = await getStatus(this.operatorAddress(index));
          const serving = instances.filter(
            status => status.state === 'serving' && status.reachability === 'reachable',
          );
          return serving.length === this.instances.length ? true : undefined;
        }),
      ),
    );
    await this.waitUntilOrdersRun();
  }

  /** Waits until an operation sent through each instance succeeds. */
  async waitUntilOrdersRun(): Promise<void> {
    await Promise.all(
      this.instances.map(instance =>
        waitUntil(async () => {
          const result = await sendCallerRequest(instance.callerAddress, {
            path: '/svc/orders/warm-up',
            method: 'POST',
            key: `warm-up-${Math.floor(systemTime.nowMs())}-${instance.id}`,
          });
          return result.status === 200 ? true : undefined;
        }),
      ),
    );
  }

  /** Index of the instance that owns the claims on a key of `orders` while all instances serve. */
  claimOwnerIndex(key: string): number {
    const shard = shardOfKey(`orders/none/${key}`, claimShards);
    const owner = ownerByRendezvous(
      `claims/${shard}`,
      this.instances.map(instance => instance.id),
    );
    return this.instances.findIndex(instance => instance.id === owner);
  }

  /** Generates keys that start with `prefix` and whose claims the given instance owns. */
  keysOwnedBy(index: number, prefix: string, count: number): readonly string[] {
    const keys: string[] = [];
    for (let number = 0; keys.length < count; number += 1) {
      const key = `${prefix}-${number}`;
      if (this.claimOwnerIndex(key) === index) keys.push(key);
    }
    return keys;
  }

  /** How many times targets have run the operation with this key. */
  runCount(key: string): number {
    return [...this.fleet.targets.values()].reduce(
      (sum, target) => sum + (target.statistics().runs[key] ?? 0),
      0,
    );
  }

  /** Sets the service time of all targets in milliseconds. */
  async setServiceMs(serviceMs: number): Promise<void> {
    await Promise.all(
      [...this.fleet.targets.values()].map(target => target.changeMode({serviceMs})),
    );
  }

  /** Output of all daemon processes, including replaced ones. */
  output(): string {
    return (
      this.outputOfReplacedProcesses +
      [...this.processes.values()].map(daemonProcess => daemonProcess.output()).join('')
    );
  }

  /** Kills all processes and stops the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes.values()].map(daemonProcess => daemonProcess.kill()));
    await this.fleet.close();
    await Promise.all(this.servers.map(server => server.close()));
    rmSync(this.directory, {recursive: true});
  }

  private processName(index: number, daemon: DaemonName): string {
    return `${this.instance(index).id}.${daemon}`;
  }

  private settingsFile(index: number, daemon: DaemonName): string {
    return join(this.directory, `${this.processName(index, daemon)}.json`);
  }

  private writeSettings(store: SocketAddress, instanceList: SocketAddress): void {
    this.instances.forEach((instance, index) => {
      const {id, regionId, failureDomainId} = instance;
      const identity = {id, regionId, failureDomainId};
      const entry: EntrySettingsFile = {
        instance: identity,
        callers: instance.callerAddress,
        peers: instance.entryPeerAddress,
        control: instance.controlPeerAddress,
        peerKey,
        ...entryTimings,
      };
      const control: ControlSettingsFile = {
        instance: identity,
        callers: instance.callerAddress,
        entryPeers: instance.entryPeerAddress,
        peers: instance.controlPeerAddress,
        operators: this.operatorAddress(index),
        store,
        storeTimeoutMs: 1000,
        instanceList,
        seeds: this.instances.map(seed => seed.controlPeerAddress),
        peerKey,
        operatorTokens: [
          {name: 'operator', role: 'operator', tokenSha256: sha256(operatorToken)},
          {name: 'viewer', role: 'viewer', tokenSha256: sha256(viewerToken)},
        ],
        claimShards,
        ...controlTimings,
      };
      writeFileSync(this.settingsFile(index, 'entry'), JSON.stringify(entry));
      writeFileSync(this.settingsFile(index, 'control'), JSON.stringify(control));
    });
  }
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
