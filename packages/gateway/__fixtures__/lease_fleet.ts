/**
 * A fleet of gateways with leases in virtual time: clocks that jump and stand still, a store whose reads show its newest
 * configuration, and datagrams that are lost, doubled and late. Nothing waits and nothing uses the network.
 */
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {EventQueue, randomBelow, seededRandom} from '@cuminsill/utils';
import type {GatewayConfiguration} from '../src/gateway_types';
import {ElapsedClock} from '../src/key_lease/elapsed_clock';
import type {ReadResult} from '../src/key_lease/strict_key_lease';
import {StrictKeyLease} from '../src/key_lease/strict_key_lease';
import type {MessageFields} from '../src/peers/coordination_channel';
import {ConfigurationView} from '../src/store/configuration_view';

/** Parameters of a fleet. */
export interface LeaseFleetOptions {
  readonly gatewayCount: number;
  readonly boundMs: number;
  readonly lossRate: number;
  /** A datagram takes between half of this time and this time, or up to ten times as long if it is late. */
  readonly delayMs: number;
  readonly lateRate: number;
  /** The store refuses this many reads of a gateway in a row, and then answers one; 0 if missing. */
  readonly refusalsInRow?: number;
  readonly seed: number;
}

const tickMs = 100;
const readTimeoutMs = 1_000;
/** A serializable watch may show a change this late. */
const maxWatchDelayMs = 3_000;

/** The store with one configuration. */
class FleetStore {
  era = 1;
  configuration = configurationOf(1, ['a', 'b', 'c']);
  /** When the store acknowledged a configuration without a key that the one before contained. */
  readonly revokedAtMs = new Map<string, number>();

  publish(version: number, keys: readonly string[], nowMs: number): void {
    for (const key of keysOf(this.configuration)) {
      if (!keys.includes(key)) this.revokedAtMs.set(key, nowMs);
    }
    for (const key of keys) this.revokedAtMs.delete(key);
    this.configuration = configurationOf(version, keys);
  }

  /** Comes back from a copy. Revocations that it does not contain are lost. */
  restore(copy: GatewayConfiguration): void {
    this.era += 1;
    this.configuration = copy;
    for (const key of keysOf(copy)) this.revokedAtMs.delete(key);
  }
}

/** One gateway, with a simplified feed of the configuration. */
export class FleetGateway implements TimeSource {
  readonly view = new ConfigurationView('main');
  readonly lease: StrictKeyLease;
  isCut = false;
  /** While it is paused or suspended, its events wait. */
  isStopped = false;
  reads = 0;
  private feedEra: number | undefined;
  private suspendedMs = 0;
  private wallOffsetMs = 0;
  private readonly waiting: Array<() => void> = [];

  constructor(
    private readonly fleet: LeaseFleet,
    readonly number: number,
  ) {
    this.lease = new StrictKeyLease(
      {
        boundMs: () => fleet.options.boundMs,
        requiresKeys: () => this.view.workspaces.requiresKeys,
        accountedVersion: () => this.view.accountedVersion,
        isStoreConnected: () => this.feedEra !== undefined,
        peerCount: () => fleet.gateways.length - 1,
        sendQuery: (fields, count) => fleet.query(this, fields, count),
        read: done => this.confirm(done),
        onEvidence: () => undefined,
        onChange: () => undefined,
      },
      new ElapsedClock(this),
      `g${number}`,
      () => fleet.random.next(),
    );
  }

  nowMs(): number {
    return this.fleet.queue.nowMs + this.wallOffsetMs;
  }

  monotonicMs(): number {
    return this.fleet.queue.nowMs - this.suspendedMs;
  }

  /** Runs at once, or when the gateway is running again. */
  run(action: () => void): void {
    if (this.isStopped) this.waiting.push(action);
    else action();
  }

  /** Stops the process; `isSuspended` also stops its monotonic clock. */
  stop(durationMs: number, isSuspended: boolean): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.fleet.queue.schedule(durationMs, () => {
      if (isSuspended) this.suspendedMs += durationMs;
      this.isStopped = false;
      this.fleet.checkKeys();
      for (const action of this.waiting.splice(0)) action();
    });
  }

  jumpWallClock(jumpMs: number): void {
    if (!this.isStopped) this.wallOffsetMs += jumpMs;
  }

  /** Lists the configuration; dated when the call is sent. */
  list(): void {
    const sentAtMs = this.lease.confirmation.nowMs();
    this.callStore(({era, configuration}) => {
      this.feedEra = era;
      this.view.replace({objects: [objectOf(configuration)], revision: 1, era});
      this.lease.confirmation.onConfirmed(sentAtMs, era);
    });
  }

  /** A change as a watch shows it, in the era in which the watch began. */
  onWatched(era: number, configuration: GatewayConfiguration): void {
    if (this.isCut || era !== this.feedEra) return;
    const change = {object: objectOf(configuration), deleted: false};
    this.view.apply({changes: [change], revision: 1, era});
  }

  /** Called when the store has come back from a copy. */
  onRestored(era: number): void {
    if (this.isCut) return;
    this.lease.startEra(era);
    this.list();
  }

  private confirm(done: (result: ReadResult) => void): void {
    const sentAtMs = this.lease.confirmation.nowMs();
    const {feedEra} = this;
    this.reads += 1;
    if (this.reads % ((this.fleet.options.refusalsInRow ?? 0) + 1) > 0) {
      this.fleet.queue.schedule(this.fleet.nextDelayMs(), () => this.run(() => done('failed')));
      return;
    }
    this.callStore(
      ({era, configuration}) => {
        if (era !== feedEra || era !== this.feedEra) {
          if (era !== this.feedEra) this.list();
          done('skipped');
          return;
        }
        const change = {object: objectOf(configuration), deleted: false};
        this.view.apply({changes: [change], revision: 1, era});
        this.lease.confirmation.onConfirmed(sentAtMs, era);
        done('confirmed');
      },
      () => done('failed'),
    );
  }

  private callStore(
    onAnswer: (state: Pick<FleetStore, 'era' | 'configuration'>) => void,
    onTimeout: () => void = () => undefined,
  ): void {
    const {queue, store} = this.fleet;
    const isLost = this.isCut;
    if (isLost) queue.schedule(readTimeoutMs, () => this.run(onTimeout));
    else {
      queue.schedule(this.fleet.nextDelayMs(), () => {
        const {era, configuration} = store;
        queue.schedule(this.fleet.nextDelayMs(), () =>
          this.run(() => onAnswer({era, configuration})),
        );
      });
    }
  }
}

/** A fleet with its store. */
export class LeaseFleet {
  readonly queue = new EventQueue();
  readonly random: RandomSource;
  readonly store = new FleetStore();
  readonly gateways: readonly FleetGateway[];
  /** Uses of a key past its bound. */
  readonly violations: string[] = [];
  datagrams = 0;

  constructor(readonly options: LeaseFleetOptions) {
    this.random = seededRandom(options.seed);
    this.gateways = Array.from(
      {length: options.gatewayCount},
      (_, number) => new FleetGateway(this, number),
    );
    for (const gateway of this.gateways) {
      gateway.list();
      this.queue.schedule(randomBelow(this.random, tickMs), () => this.tick(gateway));
    }
  }

  /** Changes the configuration; watches show it late, and those of cut gateways do not. */
  publish(version: number, keys: readonly string[]): void {
    this.store.publish(version, keys, this.queue.nowMs);
    const {era, configuration} = this.store;
    for (const gateway of this.gateways) {
      this.queue.schedule(randomBelow(this.random, maxWatchDelayMs), () =>
        gateway.run(() => gateway.onWatched(era, configuration)),
      );
    }
  }

  restore(copy: GatewayConfiguration): void {
    this.store.restore(copy);
    const {era} = this.store;
    for (const gateway of this.gateways) {
      this.queue.schedule(this.nextDelayMs(), () => gateway.run(() => gateway.onRestored(era)));
    }
  }

  /** Sends a query to random gateways, and their answers back. */
  query(sender: FleetGateway, fields: MessageFields, count: number): void {
    const others = this.gateways.filter(gateway => gateway !== sender);
    for (let sent = 0; sent < count && others.length > 0; sent += 1) {
      const [receiver] = others.splice(randomBelow(this.random, others.length), 1);
      if (receiver === undefined) return;
      this.transmit(receiver, () => {
        const answer = receiver.lease.answerQuery(fields);
        if (answer === undefined) return;
        this.transmit(sender, () => sender.lease.receiveEvidence(answer, `g${receiver.number}`));
      });
    }
  }

  nextDelayMs(): number {
    const {delayMs, lateRate} = this.options;
    const isLate = this.random.next() < lateRate;
    return delayMs * (0.5 + this.random.next() / 2) * (isLate ? 1 + 9 * this.random.next() : 1);
  }

  /** Records a violation for each running gateway that would still use a key past its bound. */
  checkKeys(): void {
    const nowMs = this.queue.nowMs;
    for (const [key, revokedAtMs] of this.store.revokedAtMs) {
      if (nowMs <= revokedAtMs + this.options.boundMs) continue;
      for (const {isStopped, lease, view, number} of this.gateways) {
        if (isStopped || view.workspaces.findByKey(key) === undefined || !lease.isValid()) continue;
        this.violations.push(`gateway ${number}, key ${key}, ${nowMs - revokedAtMs} ms`);
      }
    }
  }

  private tick(gateway: FleetGateway): void {
    gateway.run(() => gateway.lease.tick());
    this.checkKeys();
    this.queue.schedule(tickMs, () => this.tick(gateway));
  }

  private transmit(receiver: FleetGateway, deliver: () => void): void {
    this.datagrams += 1;
    if (this.random.next() < this.options.lossRate) return;
    const copies = this.random.next() < this.options.lateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.queue.schedule(this.nextDelayMs(), () => receiver.run(deliver));
    }
  }
}

/** Makes a configuration in which each key belongs to a workspace of its own. */
export function configurationOf(version: number, keys: readonly string[]): GatewayConfiguration {
  return {
    version,
    routes: [],
    services: new Map(),
    limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
    workspaces: keys.map(key => ({
      name: `of-${key}`,
      keys: [key],
      priority: 1,
      quota: undefined,
      homeRegions: [],
    })),
  };
}

function keysOf({workspaces}: GatewayConfiguration): readonly string[] {
  return workspaces.flatMap(({keys}) => keys);
}

function objectOf(content: GatewayConfiguration) {
  return {name: 'main', revision: 1, content};
}
