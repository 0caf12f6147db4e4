/**
 * The targets of all services, from their records in the store. When a record disappears right after an outage of the
 * store, the removal of its target is deferred: records that expired during the outage come back if their targets are
 * alive.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {TargetRecord} from '../gateway_types';
import type {ObjectChanges, ObjectList, SourceObject} from '../store/object_source';
import {Target} from './target';

/** Records that expired during an outage are back within two seconds of its end; the rest is the delay of the feed. */
export const expiredRecordGraceMs = 2_300;

/** Records expire only after several failed heartbeats, so a shorter outage, such as one lost call, removes none. */
export const minExpiringOutageMs = 1_000;

/** Bounds the memory of processes that have said that they leave; the one that said so first is forgotten first. */
const maxLeavingProcesses = 2_000;

/** Change of a target, as written to the log. */
export type TargetEvent =
  'added' | 'restarted' | 'draining' | 'leaving' | 'removed' | 'removal-deferred' | 'unreadable';

/** Called on each change of a target. */
export type TargetListener = (event: TargetEvent, id: string, record?: TargetRecord) => void;

/** All targets by id and by service. */
export class TargetDirectory {
  private readonly byId = new Map<string, Target>();
  private byService = new Map<string, readonly Target[]>();
  private readonly deferredRemovals = new Map<string, number>();
  private readonly unreadableNames = new Set<string>();
  /** Incarnation ids of processes that have said that they leave; their records may go and come back. */
  private readonly leavingProcesses = new Set<string>();
  private graceUntilMs = 0;

  constructor(
    private readonly regions: ReadonlyMap<string, string>,
    private readonly time: TimeSource,
    private readonly listener: TargetListener = () => undefined,
  ) {}

  /** Targets of a service, including draining ones. */
  ofService(service: string): readonly Target[] {
    this.removeDueTargets();
    return this.byService.get(service) ?? [];
  }

  /** Targets of all services. */
  all(): Iterable<Target> {
    return this.byId.values();
  }

  /** Starts the grace period after an outage, in which the removal of targets without a record is deferred. */
  onStoreConnected(outageMs: number): void {
    if (this.byId.size === 0 || outageMs < minExpiringOutageMs) return;
    this.graceUntilMs = this.time.monotonicMs() + expiredRecordGraceMs;
  }

  /**
   * Treats the targets of a failure domain as cold.
   * @param coldStartMs Returns how long a target of a service stays cold after a start.
   */
  markDomainCold(failureDomain: string, coldStartMs: (service: string) => number): void {
    const nowMs = this.time.monotonicMs();
    for (const target of this.byId.values()) {
      if (target.failureDomain !== failureDomain) continue;
      target.markCold(coldStartMs(target.service), nowMs);
    }
  }

  /**
   * Makes targets reachable again.
   * @param isRestored Returns whether that holds for a target that became unreachable at a time.
   */
  restoreReachability(isRestored: (unreachableSinceMs: number) => boolean): void {
    for (const {health} of this.byId.values()) {
      if (health.reachability === 'reachable') continue;
      if (isRestored(health.unreachableSinceMs)) health.restore();
    }
  }

  /** Records that an answer of the target has said that its process leaves. Only a new process ends this. */
  recordLeaving(target: Target): void {
    target.directives.recordLeaving();
    this.leavingProcesses.add(target.incarnationId);
    this.listener('leaving', target.id, target.record);
    if (this.leavingProcesses.size <= maxLeavingProcesses) return;
    const [first] = this.leavingProcesses;
    if (first !== undefined) this.leavingProcesses.delete(first);
  }

  /** Replaces all records. */
  replace(list: ObjectList<TargetRecord>): void {
    const listed = new Set(list.objects.map(({name}) => name));
    for (const object of list.objects) this.put(object);
    for (const id of [...this.byId.keys()]) {
      if (!listed.has(id)) this.removeOrDefer(id);
    }
    this.reindex();
  }

  /** Applies changed and deleted records. */
  apply({changes}: ObjectChanges<TargetRecord>): void {
    for (const {object, deleted} of changes) {
      if (deleted) this.removeOrDefer(object.name);
      else this.put(object);
    }
    this.reindex();
  }

  private put(object: SourceObject<TargetRecord>): void {
    const {name, content: record} = object;
    if (record === undefined) {
      this.markUnreadable(name);
      return;
    }
    this.deferredRemovals.delete(name);
    this.unreadableNames.delete(name);
    const nowMs = this.time.monotonicMs();
    const known = this.byId.get(name);
    if (known === undefined || known.service !== record.service) this.add(record, nowMs);
    else this.update(known, record, nowMs);
  }

  private add(record: TargetRecord, nowMs: number): void {
    this.byId.get(record.id)?.markRemoved();
    const region = this.regions.get(record.failureDomain) ?? '';
    const target = new Target(record, region, nowMs);
    if (this.leavingProcesses.has(target.incarnationId)) target.directives.recordLeaving();
    this.byId.set(record.id, target);
    this.listener('added', record.id, record);
  }

  private update(target: Target, record: TargetRecord, nowMs: number): void {
    const before = target.record;
    target.update(record, nowMs);
    if (before.startedAtMs !== record.startedAtMs) this.listener('restarted', record.id, record);
    if (!before.draining && record.draining) this.listener('draining', record.id, record);
  }

  /** Removes a target whose record became unreadable: its former record may no longer be right. */
  private markUnreadable(name: string): void {
    if (!this.unreadableNames.has(name)) this.listener('unreadable', name);
    this.unreadableNames.add(name);
    this.removeNow(name);
  }

  private removeOrDefer(id: string): void {
    const target = this.byId.get(id);
    this.unreadableNames.delete(id);
    if (target === undefined) return;
    if (this.time.monotonicMs() >= this.graceUntilMs) {
      this.removeNow(id);
      return;
    }
    if (!this.deferredRemovals.has(id)) this.listener('removal-deferred', id);
    target.deferRemoval();
    this.deferredRemovals.set(id, this.graceUntilMs);
  }

  private removeNow(id: string): void {
    const target = this.byId.get(id);
    this.deferredRemovals.delete(id);
    if (target === undefined) return;
    target.markRemoved();
    this.byId.delete(id);
    this.listener('removed', id, target.record);
  }

  private removeDueTargets(): void {
    if (this.deferredRemovals.size === 0) return;
    const nowMs = this.time.monotonicMs();
    for (const [id, dueAtMs] of this.deferredRemovals) {
      if (nowMs >= dueAtMs) this.removeNow(id);
    }
    this.reindex();
  }

  private reindex(): void {
    const byService = new Map<string, Target[]>();
    for (const target of this.byId.values()) {
      const targets = byService.get(target.service);
      if (targets === undefined) byService.set(target.service, [target]);
      else targets.push(target);
    }
    this.byService = byService;
  }
}
