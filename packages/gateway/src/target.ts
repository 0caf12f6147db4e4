/** State of one target at this gateway: its record, its reports and the results of requests sent to it. */
import type {SocketAddress} from '@cuminsill/types';
import {hash32} from '@cuminsill/utils';
import {ColdTargetLimiter} from './cold_target_limiter';
import type {TargetRecord} from './gateway_types';
import {RecentObjects} from './recent_objects';
import {TargetLoad} from './target_load';
import {TargetHealth} from './target_health';

/** Maximum number of requests kept as possible causes of a crash; a target runs only a few at once. */
const maxSuspectRequests = 16;

/** A request whose connection to a target was lost; if the target turns out to be down, the request may be the cause. */
export interface SuspectRequest {
  readonly fingerprint: string;
  /** Process of the target that had the request. */
  readonly incarnationId: string;
  /** True if the request was sent after an earlier loss was known. */
  readonly isRepeat: boolean;
}

/** A target with its load, health and recent objects. */
export class Target {
  readonly load = new TargetLoad();
  readonly coldLimiter = new ColdTargetLimiter();
  readonly recentObjects = new RecentObjects();
  health = new TargetHealth();
  /** Hash of the id, for rendezvous hashing. */
  readonly idHash: number;
  private currentRecord: TargetRecord;
  private coldUntilMs = 0;
  private isRemoved = false;
  private isUnlisted = false;
  private hasWrongAddress = false;
  private suspects: readonly SuspectRequest[] = [];

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

  /** Identifies the target's process: a target may start again under the id that it had. */
  get incarnationId(): string {
    return `${this.id}@${this.currentRecord.startedAtMs}`;
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

  /** False when the target is draining or removed, or another target answers at its address. */
  get isAssignable(): boolean {
    return !this.isRemoved && !this.currentRecord.draining && !this.hasWrongAddress;
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
    this.currentRecord = record;
    if (
      record.address.host !== previous.address.host ||
      record.address.port !== previous.address.port
    ) {
      this.hasWrongAddress = false;
    }
    if (record.startedAtMs !== previous.startedAtMs) this.resetAfterRestart();
    this.coldUntilMs = 0;
    this.markCold(record.coldForMs, nowMs);
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

  /** Adds a request whose connection was lost. */
  addSuspectRequest(fingerprint: string, isRepeat: boolean): void {
    const suspect = {fingerprint, incarnationId: this.incarnationId, isRepeat};
    this.suspects = [...this.suspects, suspect].slice(-maxSuspectRequests);
  }

  /** Returns and clears the suspect requests. */
  takeSuspectRequests(): readonly SuspectRequest[] {
    const taken = this.suspects;
    this.suspects = [];
    return taken;
  }

  /** Marks the target as no longer listed. */
  markRemoved(): void {
    this.isRemoved = true;
  }

  /** Resets what was learned about the former process, because a new one runs under the same id. */
  private resetAfterRestart(): void {
    this.health = new TargetHealth();
    this.recentObjects.clear();
    this.hasWrongAddress = false;
  }
}
