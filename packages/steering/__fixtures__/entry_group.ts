/** Simulates entries that lend slots to each other over a network that delays, loses and duplicates messages. */
import type {Configuration, Member} from '@cuminsill/types';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';
import {Steering} from '../src';
import {makeSteeringOptions} from './fleets';

/** Event queue that runs functions in virtual time. */
export class EventLoop implements TimeSource {
  private events: {readonly atMs: number; readonly order: number; readonly run: () => void}[] = [];
  private lastEventNumber = 0;
  private virtualTimeMs = 1_700_000_000_000;

  nowMs(): number {
    return this.virtualTimeMs;
  }

  monotonicMs(): number {
    return this.virtualTimeMs;
  }

  /** Schedules a function to run after a delay. */
  after(delayMs: number, run: () => void): void {
    this.lastEventNumber += 1;
    const event = {atMs: this.virtualTimeMs + delayMs, order: this.lastEventNumber, run};
    let index = this.events.length;
    this.events.push(event);
    while (index > 0) {
      const parent = (index - 1) >>> 1;
      const other = this.events[parent];
      if (other === undefined || !isEarlier(event, other)) break;
      this.events[index] = other;
      this.events[parent] = event;
      index = parent;
    }
  }

  /** Runs all events up to `endMs` and sets the time to it. */
  runUntil(endMs: number): void {
    for (
      let next = this.events[0];
      next !== undefined && next.atMs <= endMs;
      next = this.events[0]
    ) {
      this.removeFirst();
      this.virtualTimeMs = next.atMs;
      next.run();
    }
    this.virtualTimeMs = endMs;
  }

  private removeFirst(): void {
    const last = this.events.pop();
    if (last === undefined || this.events.length === 0) return;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const leftEvent = this.events[left];
      if (leftEvent === undefined) break;
      const rightEvent = this.events[right];
      const useRight = rightEvent !== undefined && isEarlier(rightEvent, leftEvent);
      const child = useRight ? rightEvent : leftEvent;
      if (!isEarlier(child, last)) break;
      this.events[index] = child;
      index = useRight ? right : left;
    }
    this.events[index] = last;
  }
}

function isEarlier(
  a: {readonly atMs: number; readonly order: number},
  b: {readonly atMs: number; readonly order: number},
): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** A time source with a constant offset, like the clock of another machine. */
export class OffsetTimeSource implements TimeSource {
  constructor(
    private readonly base: TimeSource,
    private readonly offsetMs: number,
  ) {}

  nowMs(): number {
    return this.base.nowMs() + this.offsetMs;
  }

  monotonicMs(): number {
    return this.base.monotonicMs() + this.offsetMs;
  }
}

/** One entry of a group. */
export interface GroupEntry {
  readonly id: string;
  readonly regionId: string;
  readonly steering: Steering;
  readonly time: TimeSource;
  /** False while the entry is down or disconnected, and neither sends nor receives messages. */
  isConnected: boolean;
}

/** Network conditions between the entries. */
export interface MessageOptions {
  readonly delayMs: (fromRegionId: string, toRegionId: string) => number;
  readonly lossRate: number;
  readonly duplicateRate: number;
  readonly maxClockOffsetMs: number;
  readonly seed: number;
}

/** The entries of one deployment and the network between them. */
export class EntryGroup {
  readonly entries: readonly GroupEntry[];
  private readonly random: RandomSource;

  constructor(
    readonly loop: EventLoop,
    members: readonly Member[],
    private readonly messages: MessageOptions,
  ) {
    this.random = seededRandom(messages.seed);
    this.entries = members.map(({instance}) => {
      const offsetMs = (this.random.next() * 2 - 1) * messages.maxClockOffsetMs;
      const time = new OffsetTimeSource(loop, offsetMs);
      const steering = new Steering(makeSteeringOptions(instance.id, instance.regionId), time);
      const {id, regionId} = instance;
      return {id, regionId, steering, time, isConnected: true};
    });
    for (const entry of this.entries) this.connectPeers(entry);
  }

  /** Lets all entries adopt the same configuration and members. */
  adopt(configuration: Configuration, members: readonly Member[]): void {
    for (const {steering} of this.entries) {
      steering.updateConfiguration(configuration);
      steering.updateMembers(members);
    }
  }

  /** Sends a message, which may be lost or delivered twice. */
  send(from: GroupEntry, to: GroupEntry, run: () => void): void {
    const {delayMs, lossRate, duplicateRate} = this.messages;
    const copies = this.random.next() < duplicateRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random.next() < lossRate || !from.isConnected) continue;
      const oneWayMs = delayMs(from.regionId, to.regionId) * (1 + this.random.next());
      this.loop.after(oneWayMs, () => {
        if (to.isConnected) run();
      });
    }
  }

  private connectPeers(entry: GroupEntry): void {
    entry.steering.connectPeers({
      borrow: (serviceId, regionId, wantedSlots) =>
        this.requestLoans(entry, serviceId, regionId, wantedSlots),
      returnLoans: (lenderId, loanIds) => {
        const lender = this.entries.find(({id}) => id === lenderId);
        if (lender === undefined) return;
        this.send(entry, lender, () => lender.steering.takeBackLoans(loanIds));
      },
    });
  }

  /** Asks up to three peers for slots; peers in the region of the targets come first. */
  private requestLoans(
    entry: GroupEntry,
    serviceId: string,
    regionId: string,
    wantedSlots: number,
  ): void {
    const sentAtMs = entry.time.monotonicMs();
    const peers = this.entries
      .filter(peer => peer !== entry && peer.isConnected)
      .map(peer => ({peer, rank: (peer.regionId === regionId ? 0 : 1) + this.random.next()}))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, 3);
    for (const {peer} of peers) {
      this.send(entry, peer, () => {
        const wantedFromPeer = Math.ceil(wantedSlots / peers.length);
        const loans = peer.steering.lendSlots(entry.id, serviceId, regionId, wantedFromPeer);
        if (loans.length === 0) return;
        this.send(peer, entry, () => entry.steering.acceptLoans(peer.id, loans, sentAtMs));
      });
    }
  }
}
