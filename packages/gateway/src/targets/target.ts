/** State of one target at this gateway: its record, its reports and the results of requests sent to it. */
import type {SocketAddress} from '@cuminsill/types';
import {hash32} from '@cuminsill/utils';
import {ColdTargetLimiter} from './cold_target_limiter';
import type {TargetRecord} from '../gateway_types';
import {RecentObjects} from './recent_objects';
import {TargetDirectives} from './target_directives';
import {TargetLoad} from './target_load';
import {TargetHealth} from './target_health';
import {WorkDuration} from './work_duration';

/** Identifies a target's process: a target may start again under the id that it had. */
export function incarnationIdOf({id, startedAtMs}: TargetRecord): string {
  return `${id}@${startedAtMs}`;
}

/** Identifies the process that follows a number of others under the same record. */
export function laterIncarnationId(incarnationId: string, earlierCount: number): string {
  return earlierCount === 0 ? incarnationId : `${incarnationId}+${earlierCount}`;
}

/** True if an id names the process of a record or a later one under it. */
export function isIncarnationOf(id: string, incarnationId: string): boolean {
  return id === incarnationId || id.startsWith(`${incarnationId}+`);
}

/** A target with its load, health and recent objects. */
export class Target {
  readonly load = new TargetLoad();
  readonly coldLimiter = new ColdTargetLimiter();
  readonly directives = new TargetDirectives();
  readonly recentObjects = new RecentObjects();
  readonly workDuration = new WorkDuration();
  health = new TargetHealth();
  /** Hash of the id, for rendezvous hashing. */
  readonly idHash: number;
  private currentRecord: TargetRecord;
  private coldUntilMs = 0;
  private isRemoved = false;
  private isUnlisted = false;
  private hasWrongAddress = false;

  constructor(
    record: TargetRecord,
    readonly region: string,
    nowMs: number,
  ) {
    this.currentRecord = record;
    this.idHash = hash32(record.id);
    this.markCold(record.coldForMs, nowMs);
  }

  /** The target's latest record. */
  get record(): TargetRecord {
    return this.currentRecord;
  }

  get id(): string {
    return this.currentRecord.id;
  }

  /** Identifies the target's process. */
  get incarnationId(): string {
    return incarnationIdOf(this.currentRecord);
  }

  get service(): string {
    return this.currentRecord.service;
  }

  get address(): SocketAddress {
    return this.currentRecord.address;
  }

  get failureDomain(): string {
    return this.currentRecord.failureDomain;
  }

  get slots(): number {
    return this.currentRecord.slots;
  }

  /** True when the target leaves, as its record or one of its answers says. */
  get isLeaving(): boolean {
    return this.currentRecord.draining || this.directives.isLeaving;
  }

  /** False when the target is leaving or removed, or another target answers at its address. */
  get isAssignable(): boolean {
    return !this.isRemoved && !this.isLeaving && !this.hasWrongAddress;
  }

  /** True while the target's record is missing, but may come back after an outage of the store. */
  get isRemovalDeferred(): boolean {
    return this.isUnlisted;
  }

  /** Marks the target's record as missing after an outage of the store. */
  deferRemoval(): void {
    this.isUnlisted = true;
  }

  /** Applies a new record of the target. */
  update(record: TargetRecord, nowMs: number): void {
    this.isUnlisted = false;
    const previous = this.currentRecord;
    const wasInUse = this.isInUse(nowMs);
    this.currentRecord = record;
    if (
      record.address.host !== previous.address.host ||
      record.address.port !== previous.address.port
    ) {
      this.hasWrongAddress = false;
    }
    if (record.startedAtMs !== previous.startedAtMs) this.resetAfterRestart();
    // The record may have been written before the process became cold, so it only extends what is known.
    if (wasInUse && record.coldForMs > 0) this.coldLimiter.onColdInUse(nowMs);
    this.markCold(record.coldForMs, nowMs);
  }

  /** Records that an answer of the target has said how long it stays cold. */
  onColdAnswer(coldForMs: number, nowMs: number): void {
    if (coldForMs > 0 && this.isInUse(nowMs)) this.coldLimiter.onColdInUse(nowMs);
    this.markCold(coldForMs, nowMs);
  }

  /** True when gateways may have sent to the target at their usual rate until now. */
  private isInUse(nowMs: number): boolean {
    return this.isAssignable && this.health.reachability === 'reachable' && !this.isCold(nowMs);
  }

  /** Marks the target as cold for at least the given time from now. */
  markCold(coldForMs: number, nowMs: number): void {
    if (coldForMs > 0) this.coldUntilMs = Math.max(this.coldUntilMs, nowMs + coldForMs);
  }

  /** True while the target can take only few requests. */
  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs;
  }

  /** Marks the address as held by another target. */
  markWrongAddress(): void {
    this.hasWrongAddress = true;
  }

  /** Marks the target as no longer listed. */
  markRemoved(): void {
    this.isRemoved = true;
  }

  /** Resets what was learned about the former process, because a new one runs under the same id. */
  private resetAfterRestart(): void {
    this.health = new TargetHealth();
    this.directives.reset();
    this.recentObjects.clear();
    this.workDuration.reset();
    this.hasWrongAddress = false;
    this.coldUntilMs = 0;
  }
}
