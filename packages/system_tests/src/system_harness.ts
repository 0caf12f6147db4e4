/** The deployment of the tests with its processes and stand-ins. */
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {shardOfKey} from '@cuminsill/claims';
import type {EntrySettingsFile, ControlSettingsFile, RunningServer} from '@cuminsill/standins';
import {
  findFreePorts,
  InstanceList,
  ownLoopbackAddress,
  jsonBody,
  MemoryStore,
  startInstanceListServer,
  startStoreServer,
  TargetFleet,
  defaultTargetMode,
} from '@cuminsill/standins';
import type {Instance, SocketAddress} from '@cuminsill/types';
import {ownerByRendezvous, systemTime} from '@cuminsill/utils';
import type {DaemonName} from './daemon_process';
import {DaemonProcess} from './daemon_process';
import {askPlan, askStatus, confirmPlan} from './operator_client';
import {sendTo} from './system_callers';
import type {TestDeployment} from './test_deployment';
import {
  makeTestDeployment,
  operatorToken,
  peerKey,
  portCount,
  viewerToken,
} from './test_deployment';
import {waitUntil} from './wait_until';

/** Answer of `/readyz`. */
export interface Readiness {
  readonly ready: boolean;
  readonly state: string;
  readonly configVersion: number;
}

/** Claim shards of the deployment; few, so that every owner has several. */
const claimShards = 4;

/** Max-age of look-up answers in seconds. */
export const lookupTtlS = 1;

/** Shorter than the defaults, so that stops and slow starts take little of the test time. */
// The margin is longer than the default: on a slow machine the news that an entry leaves takes longer.
const entryTimes = {lookupTtlS, stopMarginS: 4, slowStartStepS: 0.1, probeIntervalS: 0.3};
const controlTimes = {stopMarginS: 0.5, heartbeatIntervalS: 0.3, instanceListIntervalS: 0.5};

/** A running deployment. */
export class SystemHarness {
  readonly store = new MemoryStore();
  private readonly processes = new Map<string, DaemonProcess>();
  /** Everything that processes of earlier starts have written. */
  private earlierOutput = '';

  private constructor(
    readonly deployment: TestDeployment,
    readonly fleet: TargetFleet,
    private readonly directory: string,
    private readonly servers: RunningServer[],
  ) {}

  /** Starts the stand-ins; the instances are started apart. */
  static async start(): Promise<SystemHarness> {
    const host = ownLoopbackAddress();
    const deployment = makeTestDeployment(host, await findFreePorts(host, portCount));
    const fleet = await TargetFleet.start(
      deployment.catalog.targets,
      () => ({...defaultTargetMode, serviceMs: 10, spread: 0}),
      1,
    );
    const directory = mkdtempSync(join(tmpdir(), 'cuminsill-system-'));
    const harness = new SystemHarness(deployment, fleet, directory, []);
    const list = new InstanceList(
      deployment.instances.map(instance => ({instance, state: 'live' as const})),
      0,
      systemTime,
    );
    // On another address than the daemons, so that they cannot take a port that was found free.
    const storeServer = await startStoreServer(harness.store, '127.0.0.1', 0);
    const listServer = await startInstanceListServer(list, '127.0.0.1', 0);
    harness.servers.push(storeServer, listServer);
    harness.writeSettings(storeServer.address, listServer.address);
    return harness;
  }

  /** The instances. */
  get instances(): readonly Instance[] {
    return this.deployment.instances;
  }

  /** The instance with the given index. */
  instance(index: number): Instance {
    return this.instances[index] as Instance;
  }

  /** Address of the operators' API of an instance. */
  operators(index: number): SocketAddress {
    return this.deployment.operatorAddresses[index] as SocketAddress;
  }

  /** The current process of a daemon. */
  process(index: number, daemon: DaemonName): DaemonProcess {
    return this.processes.get(this.processName(index, daemon)) as DaemonProcess;
  }

  /** Starts both processes of an instance and waits for their ready lines. */
  async startInstance(index: number): Promise<void> {
    await Promise.all([this.startDaemon(index, 'control'), this.startDaemon(index, 'entry')]);
  }

  /** Starts one process of an instance and waits for its ready line. */
  async startDaemon(index: number, daemon: DaemonName): Promise<void> {
    const name = this.processName(index, daemon);
    this.earlierOutput += this.processes.get(name)?.written() ?? '';
    const started = new DaemonProcess(daemon, this.settingsFile(index, daemon));
    this.processes.set(name, started);
    await started.untilReady();
  }

  /** Starts all instances and puts the catalog into force everywhere. */
  async startAll(): Promise<void> {
    await Promise.all(this.instances.map((_, index) => this.startInstance(index)));
    await waitUntil(() => this.putCatalog(0));
    await this.untilServing(1);
  }

  /** Puts the catalog into force; undefined when that is not possible now. */
  async putCatalog(index: number): Promise<number | undefined> {
    const {catalog} = this.deployment;
    const plan = await askPlan(this.operators(index), {action: 'put-catalog', catalog});
    if (plan.status !== 200) return undefined;
    const reply = await confirmPlan(this.operators(index), plan.body);
    return reply.status < 300 ? reply.body.configVersion : undefined;
  }

  /** Answer of `/readyz` of an instance. Rejects when it does not answer. */
  async readiness(index: number): Promise<Readiness> {
    const result = await sendTo(this.instance(index).callerAddress, {path: '/readyz'});
    const readiness = jsonBody<Readiness>(result.body);
    if (readiness === undefined) throw new Error('no answer to /readyz');
    return readiness;
  }

  /** Waits until every instance is ready with at least this version and sees all others serving. */
  async untilServing(version: number): Promise<void> {
    await Promise.all(
      this.instances.map((_, index) =>
        waitUntil(async () => {
          const {ready, configVersion} = await this.readiness(index);
          if (!ready || configVersion < version) return undefined;
          const {instances} = await askStatus(this.operators(index));
          const serving = instances.filter(
            one => one.state === 'serving' && one.reachability === 'reachable',
          );
          return serving.length === this.instances.length ? true : undefined;
        }),
      ),
    );
    await this.untilOrdersAreTaken();
  }

  /** Waits until an operation through each instance runs. */
  async untilOrdersAreTaken(): Promise<void> {
    await Promise.all(
      this.instances.map(instance =>
        waitUntil(async () => {
          const result = await sendTo(instance.callerAddress, {
            path: '/svc/orders/warm-up',
            method: 'POST',
            key: `warm-up-${Math.floor(systemTime.nowMs())}-${instance.id}`,
          });
          return result.status === 200 ? true : undefined;
        }),
      ),
    );
  }

  /** Index of the instance that owns the claims of a key of `orders` while all instances serve. */
  ownerOf(key: string): number {
    const shard = shardOfKey(`orders/none/${key}`, claimShards);
    const owner = ownerByRendezvous(
      `claims/${shard}`,
      this.instances.map(instance => instance.id),
    );
    return this.instances.findIndex(instance => instance.id === owner);
  }

  /** Keys that start with `prefix` and whose claims the given instance owns. */
  keysOwnedBy(index: number, prefix: string, count: number): readonly string[] {
    const keys: string[] = [];
    for (let number = 0; keys.length < count; number += 1) {
      const key = `${prefix}-${number}`;
      if (this.ownerOf(key) === index) keys.push(key);
    }
    return keys;
  }

  /** How often targets have run the operation with this key. */
  runsOf(key: string): number {
    return [...this.fleet.targets.values()].reduce(
      (sum, target) => sum + (target.record().runs[key] ?? 0),
      0,
    );
  }

  /** Sets the service time of all targets in milliseconds. */
  async setServiceMs(serviceMs: number): Promise<void> {
    await Promise.all(
      [...this.fleet.targets.values()].map(target => target.changeMode({serviceMs})),
    );
  }

  /** Everything that the daemons have written. */
  written(): string {
    return this.earlierOutput + [...this.processes.values()].map(one => one.written()).join('');
  }

  /** Ends all processes and stand-ins. */
  async stop(): Promise<void> {
    await Promise.all([...this.processes.values()].map(one => one.kill()));
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
        ...entryTimes,
      };
      const control: ControlSettingsFile = {
        instance: identity,
        callers: instance.callerAddress,
        entryPeers: instance.entryPeerAddress,
        peers: instance.controlPeerAddress,
        operators: this.operators(index),
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
        ...controlTimes,
      };
      writeFileSync(this.settingsFile(index, 'entry'), JSON.stringify(entry));
      writeFileSync(this.settingsFile(index, 'control'), JSON.stringify(control));
    });
  }
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
