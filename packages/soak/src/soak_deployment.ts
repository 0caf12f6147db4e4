/** The deployment that one run of the soak starts: gateways, targets and the store, and the recorder of its history. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {
  findFreePorts,
  ObjectStoreServer,
  processLoopbackAddress,
  renderGatewaySettings,
  wireConfiguration,
  wireConfigurationName,
  wireKinds,
  wireRoute,
  wireService,
} from '@cuminsill/standins';
import {FaultProxy} from './fault_proxy';
import {GatewayProcess} from './gateway_process';
import type {Disruption} from './soak_history';
import {HistoryRecorder} from './soak_history';
import {TargetFleet} from './target_fleet';

/** Options of a deployment. */
export interface DeploymentOptions {
  readonly gatewayCount: number;
  /** Path of the bundled gateway program. */
  readonly programPath: string;
  /** Text of the template of the gateway's settings file. */
  readonly templateText: string;
  /** Folder for settings, logs and findings. */
  readonly folder: string;
}

/** Region of each failure domain. */
export const regionByFailureDomain: Readonly<Record<string, string>> = {
  'a-1': 'a',
  'a-2': 'a',
  'b-1': 'b',
};
const failureDomains = Object.keys(regionByFailureDomain);
/** Loopback addresses from which callers connect to the gateways. */
const callerAddressCount = 100;

/** Number of targets of each service at the start. */
const targetCountByService: Readonly<Record<string, number>> = {pages: 6, orders: 5, files: 3};

/** Routes that are the same in every configuration: name, which is also the path prefix, request kind and service. */
const fixedRoutes: ReadonlyArray<readonly [string, string, string]> = [
  ['read', 'idempotent', 'pages'],
  ['book', 'non_idempotent', 'orders'],
];

const stopGraceS = 3;
const portsPerGateway = 5;
const coldStartS = 2;
const coldRequestsPerS = 8;

/** The part of the routes that varies between configuration versions. */
export interface RouteVariant {
  /** Service of the route `/send/`. */
  readonly sendService: string;
  /** Whether there is a route `/new/`. */
  readonly hasNewRoute: boolean;
}

/** One running deployment. */
export class SoakDeployment {
  readonly recorder = new HistoryRecorder();
  readonly store = new ObjectStoreServer();
  readonly fleet = new TargetFleet(this.store.table, this.recorder, () => this.nowMs());
  readonly gateways: GatewayProcess[] = [];
  routeVariant: RouteVariant = {sendService: 'files', hasNewRoute: false};
  private version = 0;
  private lastCallerAddress = 0;
  private readonly startedAtMs = performance.now();

  constructor(private readonly options: DeploymentOptions) {}

  /** Milliseconds since the run began. */
  nowMs(): number {
    return performance.now() - this.startedAtMs;
  }

  /** Starts the store, the targets and the gateways. */
  async start(): Promise<void> {
    mkdirSync(this.options.folder, {recursive: true});
    const storePort = await this.store.start();
    this.configure(this.routeVariant);
    for (const [service, count] of Object.entries(targetCountByService)) {
      for (let index = 0; index < count; index += 1) {
        await this.fleet.add(service, this.failureDomainOf(index), 0);
      }
    }
    const {gatewayCount} = this.options;
    // In one call, because a port stays free until its gateway listens, so another call could return it again.
    const ports = await findFreePorts(processLoopbackAddress(), gatewayCount * portsPerGateway);
    for (let index = 0; index < gatewayCount; index += 1) {
      const firstPortIndex = index * portsPerGateway;
      const gatewayPorts = ports.slice(firstPortIndex, firstPortIndex + portsPerGateway);
      this.gateways.push(await this.addGateway(index, storePort, gatewayPorts));
    }
    for (const gateway of this.gateways) gateway.start();
  }

  /** Stops the gateways, targets, proxies and the store. */
  async stop(): Promise<void> {
    await Promise.all(this.gateways.map(gateway => gateway.stop()));
    for (const {callerLink, storeLink} of this.gateways) {
      callerLink.stop();
      storeLink.stop();
    }
    this.fleet.stop();
    this.store.stop();
  }

  /** The failure domain of the target or gateway with this index (0-based). */
  failureDomainOf(index: number): string {
    return failureDomains[index % failureDomains.length] ?? '';
  }

  /** Writes the next version of the configuration. */
  configure(variant: RouteVariant): void {
    this.routeVariant = variant;
    // Leaves gaps, because versions need not be consecutive and the gateways must accept that.
    const increment = 3;
    this.version += increment;
    const routes: ReadonlyArray<readonly [string, string, string]> = [
      ...fixedRoutes,
      ['send', 'upload', variant.sendService],
      ...(variant.hasNewRoute ? [['new', 'idempotent', 'pages'] as const] : []),
    ];
    const paths = routes.map(([name, kind, service]) =>
      wireRoute(name, `/${name}/`, kind, service),
    );
    const services = Object.keys(targetCountByService).map(name =>
      wireService(name, coldStartS, coldRequestsPerS),
    );
    const spec = wireConfiguration(this.version, {services, hosts: [{host: 'one.example', paths}]});
    const {table} = this.store;
    if (table.get(wireKinds.configuration, wireConfigurationName) === undefined) {
      table.create(wireKinds.configuration, wireConfigurationName, {spec});
    } else {
      table.replace(wireKinds.configuration, wireConfigurationName, {spec});
    }
    this.recorder.configurations.push({
      version: this.version,
      atMs: this.nowMs(),
      services: Object.fromEntries(routes.map(([name, , service]) => [`/${name}/`, service])),
    });
  }

  /** Requests the evacuation of a failure domain, or ends it. */
  setEvacuated(failureDomain: string, evacuated: boolean): void {
    const {table} = this.store;
    if (evacuated) table.create(wireKinds.evacuations, failureDomain, {spec: {}});
    else table.remove(wireKinds.evacuations, failureDomain);
  }

  /** Records a disruption that lasts until the returned function is called. */
  beginDisruption(subject: string, kind: string, planned = false): () => void {
    const fromMs = this.nowMs();
    const disruption: Disruption = {subject, kind, planned, fromMs, untilMs: Infinity};
    const {disruptions} = this.recorder;
    disruptions.push(disruption);
    return () => {
      disruptions[disruptions.indexOf(disruption)] = {...disruption, untilMs: this.nowMs()};
    };
  }

  /** Callers have many addresses, so that repeats of a request come from different ones. */
  private nextCallerAddress(): string {
    this.lastCallerAddress = (this.lastCallerAddress + 1) % callerAddressCount;
    return `127.9.0.${this.lastCallerAddress + 1}`;
  }

  private async addGateway(
    index: number,
    storePort: number,
    [front = 0, ready = 0, directory = 0, metrics = 0, peer = 0]: readonly number[],
  ): Promise<GatewayProcess> {
    const host = processLoopbackAddress();
    const name = `gateway-${index + 1}`;
    const failureDomain = this.failureDomainOf(index);
    const callerLink = new FaultProxy({host, port: front}, () => this.nextCallerAddress());
    const storeLink = new FaultProxy({host: '127.0.0.1', port: storePort});
    const ports = {store: await storeLink.start(), front, ready, directory, metrics, peer};
    const region = regionByFailureDomain[failureDomain] ?? '';
    const identity = {name, region, failureDomain, regions: regionByFailureDomain, stopGraceS};
    const settingsFile = join(this.options.folder, `${name}.json`);
    writeFileSync(
      settingsFile,
      renderGatewaySettings(this.options.templateText, host, ports, identity),
    );
    return new GatewayProcess(
      {
        name,
        program: this.options.programPath,
        settingsFile,
        logFile: join(this.options.folder, `${name}.log`),
        host,
        callerPort: front,
        readinessPort: ready,
        lookupPort: directory,
        callerLinkPort: await callerLink.start(),
        stopGraceMs: stopGraceS * 1000,
      },
      callerLink,
      storeLink,
      this.recorder,
      () => this.nowMs(),
    );
  }
}
