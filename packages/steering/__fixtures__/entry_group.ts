/** Several `Steering` objects that lend slots to each other over messages with a delay, losses and repeats. */
import type {Configuration, Member} from '@cuminsill/types';
import type {RandomSource, TimeSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';
import {Steering} from '../src';
import {makeOptions} from './fleets';

/** Virtual time with an event queue. */
export class EventLoop implements TimeSource {
  private events: {readonly atMs: number; readonly order: number; readonly run: () => void}[] = [];
  private order = 0;
  private currentMs = 1_700_000_000_000;

  nowMs(): number {
    return this.currentMs;
  }

  monotonicMs(): number {
    return this.currentMs;
  }

  /** Runs a function after a delay. */
  after(delayMs: number, run: () => void): void {
    this.order += 1;
    const event = {atMs: this.currentMs + delayMs, order: this.order, run};
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

  /** Runs all events up to a time. */
  runUntil(endMs: number): void {
    for (
      let next = this.events[0];
      next !== undefined && next.atMs <= endMs;
      next = this.events[0]
    ) {
      this.removeFirst();
      this.currentMs = next.atMs;
      next.run();
    }
    this.currentMs = endMs;
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

/** A clock with a constant offset, as another machine has it. */
export class OffsetTime implements TimeSource {
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
  /** False while the entry is dead or cut off: no messages reach it or leave it. */
  connected: boolean;
}

/** How messages between entries behave. */
export interface MessageOptions {
  readonly delayMs: (fromRegionId: string, toRegionId: string) => number;
  readonly lostShare: number;
  readonly repeatedShare: number;
  readonly largestClockOffsetMs: number;
  readonly seed: number;
}

/** Entries of one fleet. */
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
      const offsetMs = (this.random.next() * 2 - 1) * messages.largestClockOffsetMs;
      const time = new OffsetTime(loop, offsetMs);
      const steering = new Steering(makeOptions(instance.id, instance.regionId), time);
      const {id, regionId} = instance;
      return {id, regionId, steering, time, connected: true};
    });
    for (const entry of this.entries) this.connect(entry);
  }

  /** Gives all entries the same configuration and members. */
  update(configuration: Configuration, members: readonly Member[]): void {
    for (const {steering} of this.entries) {
      steering.updateConfiguration(configuration);
      steering.updateMembers(members);
    }
  }

  /** Sends a message that may be lost or come twice. */
  send(from: GroupEntry, to: GroupEntry, run: () => void): void {
    const {delayMs, lostShare, repeatedShare} = this.messages;
    const copies = this.random.next() < repeatedShare ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      if (this.random.next() < lostShare || !from.connected) continue;
      const oneWayMs = delayMs(from.regionId, to.regionId) * (1 + this.random.next());
      this.loop.after(oneWayMs, () => {
        if (to.connected) run();
      });
    }
  }

  private connect(entry: GroupEntry): void {
    entry.steering.connectPeers({
      borrow: (serviceId, regionId, wanted) => this.borrow(entry, serviceId, regionId, wanted),
      returnLoans: (lenderId, loanIds) => {
        const lender = this.entries.find(({id}) => id === lenderId);
        if (lender === undefined) return;
        this.send(entry, lender, () => lender.steering.takeBackLoans(loanIds));
      },
    });
  }

  /** Asks three peers: those in the region of the targets first. */
  private borrow(entry: GroupEntry, serviceId: string, regionId: string, wanted: number): void {
    const askedAtMs = entry.time.monotonicMs();
    const peers = this.entries
      .filter(peer => peer !== entry && peer.connected)
      .map(peer => ({peer, rank: (peer.regionId === regionId ? 0 : 1) + this.random.next()}))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, 3);
    for (const {peer} of peers) {
      this.send(entry, peer, () => {
        const share = Math.ceil(wanted / peers.length);
        const loans = peer.steering.lendSlots(entry.id, serviceId, regionId, share);
        if (loans.length === 0) return;
        this.send(peer, entry, () => entry.steering.acceptLoans(peer.id, loans, askedAtMs));
      });
    }
  }
}
