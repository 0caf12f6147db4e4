/**
 * The view of all instances. Of two statements about one instance the one with the higher incarnation wins; at
 * the same incarnation unreachable wins over suspect and suspect over reachable. Only the instance itself raises
 * its incarnation: at a restart, at a change of its state and to refute a suspicion.
 */
import type {Instance, InstanceState, Member, Reachability} from '@cuminsill/types';
import type {MembershipListener} from './options';
import {UpdateQueue} from './update_queue';

/** Who found that an instance does not answer. */
export type SuspicionOrigin = 'own-misses' | 'heard';

/** One member with what this instance observed of it. */
export interface MemberEntry {
  member: Member;
  /** Monotonic milliseconds since when the reachability holds. */
  sinceMs: number;
  /** Heartbeats missed in a row. */
  misses: number;
  suspicionOrigin: SuspicionOrigin;
}

const severity: Readonly<Record<Reachability, number>> = {
  reachable: 0,
  suspect: 1,
  unreachable: 2,
};

/** Holds the members and queues their changes for spreading. */
export class MemberTable {
  readonly updates = new UpdateQueue<string>();
  /** Grows when a member is added, removed or changes its reachability, state or address. */
  revision = 0;
  private own: Member;
  private readonly entries = new Map<string, MemberEntry>();
  private cachedMembers: readonly Member[] | undefined;

  constructor(
    self: Instance,
    incarnation: number,
    private readonly notify: MembershipListener,
  ) {
    this.own = {
      instance: self,
      state: 'starting',
      reachability: 'reachable',
      incarnation,
      configVersion: 0,
    };
  }

  /** The own instance. */
  self(): Member {
    return this.own;
  }

  /** All members, the own instance first. */
  members(): readonly Member[] {
    this.cachedMembers ??= [this.own, ...[...this.entries.values()].map(entry => entry.member)];
    return this.cachedMembers;
  }

  /** Number of members with the own instance. */
  size(): number {
    return this.entries.size + 1;
  }

  /** One other member. */
  get(instanceId: string): MemberEntry | undefined {
    return this.entries.get(instanceId);
  }

  /** All other members. */
  others(): IterableIterator<MemberEntry> {
    return this.entries.values();
  }

  /** Changes the own state. */
  setOwnState(state: InstanceState): void {
    if (state === this.own.state) return;
    this.replaceOwn({...this.own, state, incarnation: this.own.incarnation + 1});
  }

  /** Changes the own configuration version, which is carried along and not spread by itself. */
  setOwnConfigVersion(configVersion: number): void {
    this.own = {...this.own, configVersion};
    this.cachedMembers = undefined;
  }

  /** Takes up a statement about an instance; returns whether it was news. */
  merge(update: Member, nowMs: number): boolean {
    if (update.instance.id === this.own.instance.id) return this.refute(update);
    const known = this.entries.get(update.instance.id);
    if (known === undefined) return this.add(update, nowMs);
    const newer =
      update.incarnation > known.member.incarnation ||
      (update.incarnation === known.member.incarnation &&
        severity[update.reachability] > severity[known.member.reachability]);
    if (newer) {
      this.replace(known, update, nowMs, 'heard');
      return true;
    }
    this.raiseConfigVersion(known, update);
    return false;
  }

  /** Notes that a member answered. */
  recordAnswer(instanceId: string): void {
    const entry = this.entries.get(instanceId);
    if (entry !== undefined) entry.misses = 0;
  }

  /** Notes that a member did not answer; suspects it after `missesToSuspect` in a row. */
  recordMiss(instanceId: string, missesToSuspect: number, nowMs: number): void {
    const entry = this.entries.get(instanceId);
    if (entry === undefined) return;
    entry.misses += 1;
    if (entry.misses < missesToSuspect) return;
    if (entry.member.reachability === 'reachable') {
      this.replace(entry, {...entry.member, reachability: 'suspect'}, nowMs, 'own-misses');
    } else if (entry.member.reachability === 'suspect' && entry.suspicionOrigin === 'heard') {
      entry.suspicionOrigin = 'own-misses';
      entry.sinceMs = nowMs;
    }
  }

  /** Declares a suspected member unreachable. */
  declareUnreachable(entry: MemberEntry, nowMs: number): void {
    this.replace(
      entry,
      {...entry.member, reachability: 'unreachable'},
      nowMs,
      entry.suspicionOrigin,
    );
  }

  /** Takes up that the platform lists a member as leaving. This stays local, because the list lags. */
  confirmLeaving(entry: MemberEntry): void {
    const previous = entry.member;
    entry.member = {...previous, state: 'leaving'};
    this.touched();
    this.notify({kind: 'member', member: entry.member, previous});
  }

  /** Removes a member. */
  forget(instanceId: string): void {
    const entry = this.entries.get(instanceId);
    if (entry === undefined) return;
    this.entries.delete(instanceId);
    this.updates.remove(instanceId);
    this.touched();
    this.notify({kind: 'forgotten', member: entry.member});
  }

  /** Moves all running deadlines, after a time in which this process did not run. */
  shiftDeadlines(pausedMs: number): void {
    for (const entry of this.entries.values()) entry.sinceMs += pausedMs;
  }

  private add(update: Member, nowMs: number): boolean {
    // An instance that others still hold as unreachable may have been forgotten here.
    if (update.reachability === 'unreachable') return false;
    this.entries.set(update.instance.id, {
      member: update,
      sinceMs: nowMs,
      misses: 0,
      suspicionOrigin: 'heard',
    });
    this.updates.enqueue(update.instance.id, update.instance.id);
    this.touched();
    this.notify({kind: 'member', member: update});
    return true;
  }

  private replace(
    entry: MemberEntry,
    member: Member,
    nowMs: number,
    origin: SuspicionOrigin,
  ): void {
    const previous = entry.member;
    entry.member = member;
    entry.suspicionOrigin = origin;
    if (
      previous.reachability !== member.reachability ||
      previous.incarnation !== member.incarnation
    ) {
      entry.sinceMs = nowMs;
    }
    if (member.incarnation > previous.incarnation) entry.misses = 0;
    this.updates.enqueue(member.instance.id, member.instance.id);
    this.touched();
    this.notify({kind: 'member', member, previous});
  }

  private raiseConfigVersion(known: MemberEntry, update: Member): void {
    const raised =
      update.incarnation === known.member.incarnation &&
      update.configVersion > known.member.configVersion;
    if (!raised) return;
    known.member = {...known.member, configVersion: update.configVersion};
    this.cachedMembers = undefined;
  }

  private refute(update: Member): boolean {
    const outdated = update.incarnation < this.own.incarnation;
    const agrees =
      update.incarnation === this.own.incarnation && update.reachability === 'reachable';
    if (outdated || agrees) return false;
    this.replaceOwn({...this.own, incarnation: update.incarnation + 1});
    return true;
  }

  private replaceOwn(member: Member): void {
    const previous = this.own;
    this.own = member;
    this.touched();
    this.notify({kind: 'member', member, previous});
  }

  private touched(): void {
    this.revision += 1;
    this.cachedMembers = undefined;
  }
}
