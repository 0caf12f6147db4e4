/**
 * Gateways that all want to send to one cold target as often as they may, with simulated heartbeats, lists of the store and
 * clock. The decision, the bookkeeping and the membership are those of the gateway.
 */
import type {RandomSource} from '@cuminsill/utils';
import {ManualTime, randomBelow, seededRandom} from '@cuminsill/utils';
import {RequestPlacement} from '../src/forwarding/request_placement';
import type {PlacementParts} from '../src/forwarding/request_placement';
import {AttemptRecord} from '../src/forwarding/attempt_record';
import type {ForwardedRequest} from '../src/forwarding/forwarded_request';
import type {ExchangeStartParts} from '../src/forwarding/record_exchange_start';
import {recordExchangeStart} from '../src/forwarding/record_exchange_start';
import {CurrentSettings} from '../src/gateway_settings';
import type {GatewayRecord, GatewaySettings, TargetRecord} from '../src/gateway_types';
import {heartbeatIntervalMs} from '../src/peers/peer_exchange';
import {chooseReceivers} from '../src/peers/peer_gossip';
import type {PeerHeartbeat, RelayedHeartbeat} from '../src/peers/peer_table';
import {PeerTable} from '../src/peers/peer_table';
import {SenderFleet} from '../src/peers/sender_fleet';
import {RegionalShares} from '../src/regional_shares';
import {ConfigurationView} from '../src/store/configuration_view';
import {coldSenderTiming} from '../src/targets/cold_target_limiter';
import {EvacuationView} from '../src/targets/evacuation_view';
import {RoundTripTimes} from '../src/targets/round_trip_times';
import {ServiceTimeEstimators} from '../src/targets/service_time_estimator';
import {TargetDirectory} from '../src/targets/target_directory';
import {TargetPaths} from '../src/targets/target_paths';
import {routeRule, targetRecord, testRegions} from './test_records';

/** A schedule; gateways are numbered from 0, and functions of time get milliseconds since the start. */
export interface ColdTargetSchedule {
  readonly gatewayCount: number;
  readonly durationMs: number;
  /** When the target becomes cold; 0 when it is cold from the start. */
  readonly coldFromMs?: number;
  /** Requests a second for the target over all gateways, evenly spaced, while it is not known to be cold. */
  readonly usualRequestsPerS?: number;
  /** Whether the process of a gateway runs; by default all have run since before the start. */
  isRunning?(gateway: number, timeMs: number): boolean;
  /** Whether a process stands still. */
  isPaused?(gateway: number, timeMs: number): boolean;
  /** Whether the store lists the gateway; by default it lists all. */
  isListed?(gateway: number, timeMs: number): boolean;
  /** Whether the store turns the gateway away, which then keeps its former list. */
  isTurnedAway?(gateway: number, timeMs: number): boolean;
  /** Whether datagrams from one gateway to another are lost. */
  isCut?(from: number, to: number, timeMs: number): boolean;
}

/** When each gateway sent its requests, in milliseconds since the start, in order. */
export interface ColdTargetOutcome {
  readonly sends: ReadonlyArray<{readonly atMs: number; readonly gateway: number}>;
}

/** Limits of the service: 5.1 x 1.5 + 8 requests of all gateways in a second. */
export const coldRequestsPerS = 5.1;
const coldOvershoot = 1.5;
const coldSlack = 8;
export const maxRequestsInSecond = coldRequestsPerS * coldOvershoot + coldSlack;

const stepMs = 50;
/** Gateways that run from the start have heard each other for this long before it. */
const warmUpMs = 3_000;
const maxDatagramDelayMs = 100;
/** A gateway reads changes of the list this often; the calls of the gateways are spread. */
const listIntervalMs = 600;
/** Time from the start of a process until it has read its first list. */
const readyAfterMs = 400;
const domains = [...testRegions.keys()];

/** Plays a schedule. */
export function runColdTargetModel(schedule: ColdTargetSchedule, seed: number): ColdTargetOutcome {
  return new ColdTargetModel(schedule, seed).run();
}

interface Datagram {
  readonly receiver: number;
  readonly heartbeat: PeerHeartbeat;
  readonly relayed: readonly RelayedHeartbeat[];
}

class ColdTargetModel {
  readonly time = new ManualTime(1_000_000);
  readonly random: RandomSource;
  readonly sends: Array<{readonly atMs: number; readonly gateway: number}> = [];
  /** Gateway that gets one of the usual requests in this step. */
  usualReceiver: number | undefined;
  private readonly startMs = this.time.monotonicMs() + warmUpMs;
  private readonly datagrams = new Map<number, Datagram[]>();
  private readonly gateways = new Map<number, ModelGateway>();

  constructor(
    readonly schedule: ColdTargetSchedule,
    seed: number,
  ) {
    this.random = seededRandom(seed);
  }

  get nowMs(): number {
    return this.time.monotonicMs() - this.startMs;
  }

  run(): ColdTargetOutcome {
    while (this.nowMs < this.schedule.durationMs) {
      this.time.advance(stepMs);
      this.startAndEndProcesses();
      this.deliverDue();
      this.chooseUsualReceiver();
      for (const gateway of this.gateways.values()) {
        if (!this.isPaused(gateway.index)) gateway.step();
      }
    }
    return {sends: this.sends};
  }

  /** Numbers of the gateways that the store lists now. */
  listed(): readonly number[] {
    const {isListed} = this.schedule;
    return this.all().filter(index => isListed?.(index, this.nowMs) ?? true);
  }

  send(from: number, datagram: Datagram): void {
    if (this.schedule.isCut?.(from, datagram.receiver, this.nowMs) === true) return;
    const delayMs = stepMs * (1 + randomBelow(this.random, maxDatagramDelayMs / stepMs));
    const dueMs = this.nowMs + delayMs;
    const due = this.datagrams.get(dueMs);
    if (due === undefined) this.datagrams.set(dueMs, [datagram]);
    else due.push(datagram);
  }

  private all(): readonly number[] {
    return Array.from({length: this.schedule.gatewayCount}, (_, index) => index);
  }

  private startAndEndProcesses(): void {
    for (const index of this.all()) {
      const isRunning = this.schedule.isRunning?.(index, Math.max(0, this.nowMs)) ?? true;
      if (!isRunning) this.gateways.delete(index);
      else if (!this.gateways.has(index)) this.gateways.set(index, new ModelGateway(this, index));
    }
  }

  private chooseUsualReceiver(): void {
    const {usualRequestsPerS = 0, gatewayCount} = this.schedule;
    const countUntil = (timeMs: number) => Math.floor((timeMs * usualRequestsPerS) / 1_000);
    const isDue = countUntil(this.nowMs) > countUntil(this.nowMs - stepMs);
    this.usualReceiver = isDue ? randomBelow(this.random, gatewayCount) : undefined;
  }

  private deliverDue(): void {
    const due = this.datagrams.get(this.nowMs) ?? [];
    this.datagrams.delete(this.nowMs);
    for (const datagram of due) this.gateways.get(datagram.receiver)?.receive(datagram);
  }

  private isPaused(index: number): boolean {
    return this.schedule.isPaused?.(index, this.nowMs) === true;
  }
}

class ModelGateway {
  private readonly peers: PeerTable;
  private readonly targets: TargetDirectory;
  private readonly parts: PlacementParts & ExchangeStartParts;
  private readonly startedAtMs: number;
  private listKey: string | undefined;
  private nextListMs: number;
  private nextHeartbeatMs: number;
  private sequence = 0;
  private knowsColdness = false;

  constructor(
    private readonly model: ColdTargetModel,
    readonly index: number,
  ) {
    const {time} = model;
    this.startedAtMs = time.monotonicMs();
    this.peers = new PeerTable(recordOf(index), time, 2);
    this.targets = new TargetDirectory(testRegions, time);
    this.parts = partsOf(this.peers, this.targets, time);
    this.nextListMs = model.nowMs + readyAfterMs;
    this.nextHeartbeatMs = model.nowMs + randomBelow(model.random, heartbeatIntervalMs);
  }

  receive({heartbeat, relayed}: Datagram): void {
    this.peers.recordHeartbeat(heartbeat);
    this.peers.recordRelayed(relayed);
  }

  step(): void {
    const {nowMs} = this.model;
    if (nowMs >= this.nextHeartbeatMs) this.sendHeartbeat();
    if (nowMs >= this.nextListMs) this.readStore();
    if (this.listKey !== undefined && nowMs >= 0) this.sendRequest();
  }

  private sendHeartbeat(): void {
    const {model, index, peers, startedAtMs} = this;
    this.nextHeartbeatMs += heartbeatIntervalMs;
    this.sequence += 1;
    const heartbeat = {
      name: nameOf(index),
      startedAtMs,
      sequence: this.sequence,
      state: 'serving',
    } as const;
    const relayed = peers.takeHeardHeartbeats();
    const random = () => model.random.next();
    for (const {name} of chooseReceivers(peers.otherGateways(), recordOf(index), random)) {
      model.send(index, {receiver: indexOf(name), heartbeat, relayed});
    }
  }

  private readStore(): void {
    const {nowMs, schedule, random} = this.model;
    this.nextListMs = nowMs + randomBelow(random, listIntervalMs);
    if (schedule.isTurnedAway?.(this.index, nowMs) === true) return;
    this.readTarget(nowMs, schedule.coldFromMs ?? 0);
    const listed = this.model.listed();
    const key = listed.join();
    if (key === this.listKey) return;
    this.listKey = key;
    const objects = listed.map(recordOf).map(content => ({
      name: content.name,
      revision: 1,
      content,
    }));
    this.peers.replace({objects, revision: 1});
  }

  private readTarget(nowMs: number, coldFromMs: number): void {
    const isCold = coldFromMs === 0 || nowMs >= coldFromMs;
    const isKnown = this.listKey !== undefined;
    if (isKnown && isCold === this.knowsColdness) return;
    this.knowsColdness = isCold;
    const coldForMs = isCold ? this.model.schedule.durationMs + warmUpMs : 0;
    const content: TargetRecord = targetRecord({coldForMs});
    this.targets.replace({objects: [{name: content.id, revision: 1, content}], revision: 1});
  }

  /** Without a known cold target the gateways have fewer requests for it than they may send. */
  private hasRequest(): boolean {
    return this.knowsColdness || this.model.usualReceiver === this.index;
  }

  private sendRequest(): void {
    if (!this.hasRequest()) return;
    const placement = new RequestPlacement(this.parts, request, new AttemptRecord()).choose();
    if (placement === undefined) return;
    recordExchangeStart(this.parts, placement.target);
    placement.target.load.recordEnd();
    this.model.sends.push({atMs: this.model.nowMs, gateway: this.index});
  }
}

const service = 's';

/** A request without an object, so that only the rules on the target decide. */
const request = {
  request: {
    head: {requestId: 'r', deadlineMs: undefined, objectKey: undefined, apiKey: undefined},
    requestId: 'r',
    method: 'GET',
    path: '/p/',
    host: 'h',
    rawHeaders: [],
    body: Buffer.alloc(0),
    callerAddress: '127.0.0.1',
    arrivedAtMs: 0,
  },
  route: routeRule(),
  service,
  workspace: undefined,
  fingerprint: 'f',
  deadlineMs: Number.MAX_SAFE_INTEGER,
  isRelayed: false,
} satisfies ForwardedRequest;

function partsOf(
  peers: PeerTable,
  targets: TargetDirectory,
  time: ManualTime,
): PlacementParts & ExchangeStartParts {
  const {name, region, failureDomain} = peers.ownRecord;
  const bounds = {coldOvershoot, coldSlack} as GatewaySettings['bounds'];
  const settings = {name, region, failureDomain, bounds} as GatewaySettings;
  const configuration = new ConfigurationView('main');
  configuration.replace({objects: [{name: 'main', revision: 1, content: rules}], revision: 1});
  return {
    settings: new CurrentSettings(settings),
    configuration,
    peers,
    senderFleet: new SenderFleet(peers, time, coldSenderTiming),
    targets,
    time,
    evacuations: new EvacuationView(),
    serviceTimes: new ServiceTimeEstimators(),
    roundTripTimes: new RoundTripTimes(failureDomain, testRegions),
    regionalShares: new RegionalShares(),
    paths: new TargetPaths(time),
    metrics: {coldSend: () => undefined},
  };
}

const rules = {
  version: 1,
  routes: [],
  services: new Map([[service, {name: service, coldStartMs: 3_000, coldRequestsPerS}]]),
  limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
  workspaces: [],
};

function recordOf(index: number): GatewayRecord {
  const failureDomain = domains[index % domains.length] ?? '';
  const address = {host: '127.0.0.1', port: index + 1};
  return {
    name: nameOf(index),
    region: testRegions.get(failureDomain) ?? '',
    failureDomain,
    callerAddress: address,
    peerAddress: address,
  };
}

function nameOf(index: number): string {
  return `g${index}`;
}

function indexOf(name: string): number {
  return Number(name.slice(1));
}
