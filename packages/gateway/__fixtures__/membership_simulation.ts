/**
 * Simulates the heartbeats of a fleet of gateways without a network: each gateway has its own view of the others, and a
 * datagram takes a few milliseconds or is lost.
 */
import type {TimeSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';
import type {GatewayRecord} from '../src/gateway_types';
import {chooseReceivers} from '../src/peers/peer_gossip';
import type {PeerMessage} from '../src/peers/peer_message';
import {encodePeerMessage} from '../src/peers/peer_message';
import {heartbeatIntervalMs} from '../src/peers/peer_exchange';
import {PeerTable} from '../src/peers/peer_table';

/** Parameters of a simulated fleet. */
export interface FleetOptions {
  readonly gatewayCount: number;
  readonly lossRate: number;
  readonly regionCount?: number;
  readonly domainsPerRegion?: number;
  readonly seed: number;
}

/** Traffic of one gateway. */
export interface GatewayTraffic {
  readonly messagesPerS: number;
  readonly bytesPerS: number;
  /** Part of them that goes to other failure domains of the region. */
  readonly bytesPerSToOtherDomains: number;
  /** Part of them that goes to other regions. */
  readonly bytesPerSToOtherRegions: number;
}

const maxDelayMs = 60;
const stepMs = 10;

class SimulatedTime implements TimeSource {
  currentMs = 1_000;

  nowMs(): number {
    return this.currentMs;
  }

  monotonicMs(): number {
    return this.currentMs;
  }
}

interface Datagram {
  readonly receiver: string;
  readonly message: PeerMessage;
}

interface SimulatedGateway {
  readonly record: GatewayRecord;
  readonly table: PeerTable;
  nextHeartbeatAtMs: number;
  sequence: number;
  isRunning: boolean;
}

/** A fleet of gateways that all know the same records. */
export class SimulatedFleet {
  private readonly time = new SimulatedTime();
  private readonly gateways = new Map<string, SimulatedGateway>();
  private readonly random: () => number;
  private readonly datagramsByStep = new Map<number, Datagram[]>();
  private sentCount = 0;
  private sentBytes = 0;
  private bytesToOtherDomains = 0;
  private bytesToOtherRegions = 0;

  constructor(private readonly options: FleetOptions) {
    const source = seededRandom(options.seed);
    this.random = () => source.next();
    const records = Array.from({length: options.gatewayCount}, (_, index) =>
      recordOf(index, options),
    );
    const objects = records.map(record => ({name: record.name, revision: 1, content: record}));
    for (const record of records) {
      const table = new PeerTable(record, this.time);
      table.replace({objects, revision: 1});
      const nextHeartbeatAtMs = this.time.currentMs + this.random() * heartbeatIntervalMs;
      this.gateways.set(record.name, {
        record,
        table,
        nextHeartbeatAtMs,
        sequence: 0,
        isRunning: true,
      });
    }
  }

  /** Lets the time pass. */
  run(durationMs: number, onStep: () => void = () => undefined): void {
    const endMs = this.time.currentMs + durationMs;
    while (this.time.currentMs < endMs) {
      this.time.currentMs += stepMs;
      this.deliverDue();
      for (const gateway of this.gateways.values()) {
        if (gateway.isRunning && gateway.nextHeartbeatAtMs <= this.time.currentMs) {
          this.sendHeartbeat(gateway);
        }
      }
      onStep();
    }
  }

  /** Stops a gateway without a farewell. */
  kill(name: string): void {
    this.gatewayOf(name).isRunning = false;
  }

  get names(): readonly string[] {
    return [...this.gateways.keys()];
  }

  /** Number of running gateways that count the named one as alive. */
  countBelievers(name: string): number {
    return this.runningViews().filter(view => view.activeGatewayNames().includes(name)).length;
  }

  /** Number of pairs of running gateways of which one counts the other as dead. */
  countFalselyDead(): number {
    const running = [...this.gateways.values()].filter(({isRunning}) => isRunning);
    return running.reduce((sum, {table}) => {
      const active = new Set(table.activeGatewayNames());
      return sum + running.filter(({record}) => !active.has(record.name)).length;
    }, 0);
  }

  /** Messages and bytes that a gateway has sent on average since the start. */
  trafficPerGateway(): GatewayTraffic {
    const gatewaySeconds = (this.gateways.size * (this.time.currentMs - 1_000)) / 1_000;
    return {
      messagesPerS: this.sentCount / gatewaySeconds,
      bytesPerS: this.sentBytes / gatewaySeconds,
      bytesPerSToOtherDomains: this.bytesToOtherDomains / gatewaySeconds,
      bytesPerSToOtherRegions: this.bytesToOtherRegions / gatewaySeconds,
    };
  }

  private runningViews(): readonly PeerTable[] {
    return [...this.gateways.values()].filter(({isRunning}) => isRunning).map(({table}) => table);
  }

  private gatewayOf(name: string): SimulatedGateway {
    const gateway = this.gateways.get(name);
    if (gateway === undefined) throw new Error(`no gateway ${name}`);
    return gateway;
  }

  private sendHeartbeat(gateway: SimulatedGateway): void {
    gateway.nextHeartbeatAtMs += heartbeatIntervalMs;
    gateway.sequence += 1;
    const peers = gateway.table.otherGateways();
    const relayed = gateway.table.takeHeardHeartbeats();
    const message: PeerMessage = {
      name: gateway.record.name,
      startedAtMs: 1_764_000_000_000,
      sequence: gateway.sequence,
      state: 'serving',
      relayed,
      suspicions: [],
      answers: [],
    };
    const bytes = encodePeerMessage(message).length;
    for (const receiver of chooseReceivers(peers, gateway.record, this.random)) {
      this.sentCount += 1;
      this.sentBytes += bytes;
      if (receiver.region !== gateway.record.region) this.bytesToOtherRegions += bytes;
      else if (receiver.failureDomain !== gateway.record.failureDomain) {
        this.bytesToOtherDomains += bytes;
      }
      if (this.random() < this.options.lossRate) continue;
      this.deliverLater({receiver: receiver.name, message});
    }
  }

  private deliverDue(): void {
    const step = this.currentStep();
    const due = this.datagramsByStep.get(step) ?? [];
    this.datagramsByStep.delete(step);
    for (const {receiver, message} of due) {
      const gateway = this.gatewayOf(receiver);
      if (!gateway.isRunning) continue;
      gateway.table.recordHeartbeat(message);
      gateway.table.recordRelayed(message.relayed);
    }
  }

  private currentStep(): number {
    return Math.round(this.time.currentMs / stepMs);
  }

  private deliverLater(datagram: Datagram): void {
    const step = this.currentStep() + 1 + Math.floor((this.random() * maxDelayMs) / stepMs);
    const others = this.datagramsByStep.get(step);
    if (others === undefined) this.datagramsByStep.set(step, [datagram]);
    else others.push(datagram);
  }
}

function recordOf(
  index: number,
  {regionCount = 3, domainsPerRegion = 3}: FleetOptions,
): GatewayRecord {
  const region = `r${index % regionCount}`;
  const domain = Math.floor(index / regionCount) % domainsPerRegion;
  return {
    name: `front-mvd-goes-${index}`,
    region,
    failureDomain: `${region}-${domain}`,
    callerAddress: {host: '127.0.0.1', port: 1},
    peerAddress: {host: '127.0.0.1', port: 2},
  };
}
