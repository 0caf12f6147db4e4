/**
 * This instance's view of all instances. Of two updates about one instance, the one with the higher incarnation wins;
 * with the same incarnation, unreachable wins over suspect and suspect over reachable. Only the instance itself raises
 * its incarnation: at a restart, when its state changes, and to refute a suspicion.
 */
import type {Instance, InstanceState, Member, Reachability} from '@cuminsill/types';
import type {MembershipListener} from './options';
import {UpdateQueue} from './update_queue';

/** Whether this instance missed the answers of a suspected member itself or heard of the suspicion from a peer. */
export type SuspicionOrigin = 'own-misses' | 'heard';

/** Another member and this instance's observations of it. */
export interface MemberEntry {
  member: Member;
  /** Monotonic time at which the timeout of the current reachability started. */
  timeoutStartMs: number;
  /** Consecutive heartbeats that the member did not answer. */
  misses: number;
  suspicionOrigin: SuspicionOrigin;
}

/** Of two updates with the same incarnation, the one with the higher rank wins. */
const reachabilityRank: Readonly<Record<Reachability, number>> = {
  reachable: 0,
  suspect: 1,
  unreachable: 2,
};

/** Holds the members and queues their changes for gossip. */
export class MemberTable {
  readonly updateQueue = new UpdateQueue<string>();
  /** Increases when a member is added or removed, or when its reachability, state or address changes. */
  revision = 0;
  private ownMember: Member;
  private readonly entries = new Map<string, MemberEntry>();
  private cachedMembers: readonly Member[] | undefined;

  constructor(
    self: Instance,
    incarnation: number,
    private readonly notify: MembershipListener,
  ) {
    this.ownMember = {
      instance: self,
      state: 'starting',
      reachability: 'reachable',
      incarnation,
      configVersion: 0,
    };
  }

  /** This instance. */
  self(): Member {
    return this.ownMember;
  }

  /** All members, this instance first. */
  members(): readonly Member[] {
    this.cachedMembers ??= [
      this.ownMember,
      ...[...this.entries.values()].map(entry => entry.member),
    ];
    return this.cachedMembers;
  }

  /** Number of members, including this instance. */
  size(): number {
    return this.entries.size + 1;
  }

  /** Another member; undefined when it is not known. */
  get(instanceId: string): MemberEntry | undefined {
    return this.entries.get(instanceId);
  }

  /** All other members. */
  others(): IterableIterator<MemberEntry> {
    return this.entries.values();
  }

  /** Changes the state of this instance and raises its incarnation. */
  setOwnState(state: InstanceState): void {
    if (state === this.ownMember.state) return;
    this.replaceOwnMember({...this.ownMember, state, incarnation: this.ownMember.incarnation + 1});
  }

  /** Sets the configuration version of this instance. It travels with other updates and is not gossiped on its own. */
  setOwnConfigVersion(configVersion: number): void {
    this.ownMember = {...this.ownMember, configVersion};
    this.cachedMembers = undefined;
  }

  /** Applies an update about an instance if it supersedes the known one; returns whether it did. */
  merge(update: Member, nowMs: number): boolean {
    if (update.instance.id === this.ownMember.instance.id) return this.refute(update);
    const known = this.entries.get(update.instance.id);
    if (known === undefined) return this.addMember(update, nowMs);
    const supersedes =
      update.incarnation > known.member.incarnation ||
      (update.incarnation === known.member.incarnation &&
        reachabilityRank[update.reachability] > reachabilityRank[known.member.reachability]);
    if (supersedes) {
      this.replaceMember(known, update, nowMs, 'heard');
      return true;
    }
    this.raiseConfigVersion(known, update);
    return false;
  }

  /** Resets the missed heartbeats of a member that answered. */
  recordAnswer(instanceId: string): void {
    const entry = this.entries.get(instanceId);
    if (entry !== undefined) entry.misses = 0;
  }

  /** Counts a missed heartbeat; suspects the member after `missesToSuspect` consecutive ones. */
  recordMiss(instanceId: string, missesToSuspect: number, nowMs: number): void {
    const entry = this.entries.get(instanceId);
    if (entry === undefined) return;
    entry.misses += 1;
    if (entry.misses < missesToSuspect) return;
    if (entry.member.reachability === 'reachable') {
      this.replaceMember(entry, {...entry.member, reachability: 'suspect'}, nowMs, 'own-misses');
    } else if (entry.member.reachability === 'suspect' && entry.suspicionOrigin === 'heard') {
      entry.suspicionOrigin = 'own-misses';
      entry.timeoutStartMs = nowMs;
    }
  }

  /** Marks a suspected member as unreachable. */
  declareUnreachable(entry: MemberEntry, nowMs: number): void {
    this.replaceMember(
      entry,
      {...entry.member, reachability: 'unreachable'},
      nowMs,
      entry.suspicionOrigin,
    );
  }

  /** Marks a member as leaving because the platform lists it so. This is not gossiped, because the list lags. */
  markLeaving(entry: MemberEntry): void {
    const previous = entry.member;
    entry.member = {...previous, state: 'leaving'};
    this.markChanged();
    this.notify({kind: 'member', member: entry.member, previous});
  }

  /** Removes a member from the table. */
  forget(instanceId: string): void {
    const entry = this.entries.get(instanceId);
    if (entry === undefined) return;
    this.entries.delete(instanceId);
    this.updateQueue.remove(instanceId);
    this.markChanged();
    this.notify({kind: 'forgotten', member: entry.member});
  }

  /** Postpones all running timeouts by the time for which this process was paused. */
  postponeTimeouts(pausedMs: number): void {
    for (const entry of this.entries.values()) entry.timeoutStartMs += pausedMs;
  }

  private addMember(update: Member, nowMs: number): boolean {
    // Peers that have not forgotten an unreachable instance yet must not bring it back here.
    if (update.reachability === 'unreachable') return false;
    this.entries.set(update.instance.id, {
      member: update,
      timeoutStartMs: nowMs,
      misses: 0,
      suspicionOrigin: 'heard',
    });
    this.updateQueue.enqueue(update.instance.id, update.instance.id);
    this.markChanged();
    this.notify({kind: 'member', member: update});
    return true;
  }

  private replaceMember(
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
      entry.timeoutStartMs = nowMs;
    }
    if (member.incarnation > previous.incarnation) entry.misses = 0;
    this.updateQueue.enqueue(member.instance.id, member.instance.id);
    this.markChanged();
    this.notify({kind: 'member', member, previous});
  }

  private raiseConfigVersion(known: MemberEntry, update: Member): void {
    const isHigher =
      update.incarnation === known.member.incarnation &&
      update.configVersion > known.member.configVersion;
    if (!isHigher) return;
    known.member = {...known.member, configVersion: update.configVersion};
    this.cachedMembers = undefined;
  }

  private refute(update: Member): boolean {
    const isOutdated = update.incarnation < this.ownMember.incarnation;
    const isConsistent =
      update.incarnation === this.ownMember.incarnation && update.reachability === 'reachable';
    if (isOutdated || isConsistent) return false;
    this.replaceOwnMember({...this.ownMember, incarnation: update.incarnation + 1});
    return true;
  }

  private replaceOwnMember(member: Member): void {
    const previous = this.ownMember;
    this.ownMember = member;
    this.markChanged();
    this.notify({kind: 'member', member, previous});
  }

  private markChanged(): void {
    this.revision += 1;
    this.cachedMembers = undefined;
  }
}
