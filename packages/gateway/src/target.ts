/** One target as one gateway believes it to be: what it said of itself, and what became of requests sent to it. */
import type {SocketAddress} from '@cuminsill/types';
import {hash32} from '@cuminsill/utils';
import {ColdTargetLimiter} from './cold_target_limiter';
import type {TargetRecord} from './gateway_types';
import {RecentObjects} from './recent_objects';
import {TargetLoad} from './target_load';
import {TargetHealth} from './target_health';

/** Requests that are remembered as possible causes of a crash; a target runs only a few at once. */
const maxSuspectRequests = 16;

/** A target and its state. */
export class Target {
  readonly load = new TargetLoad();
  readonly coldLimiter = new ColdTargetLimiter();
  readonly recentObjects = new RecentObjects();
  health = new TargetHealth();
  /** Hash of the id, for the order of targets by object. */
  readonly idHash: number;
  private currentRecord: TargetRecord;
  private coldUntilMs = 0;
  private isRemoved = false;
  private isUnlisted = false;
  private hasWrongAddress = false;
  private suspectFingerprints: readonly string[] = [];

  constructor(
    record: TargetRecord,
    readonly region: string,
    nowMs: number,
  ) {
    this.currentRecord = record;
    this.idHash = hash32(record.id);
    this.markCold(record.coldForMs, nowMs);
  }

  /** What the target said of itself last. */
  get record(): TargetRecord {
    return this.currentRecord;
  }

  get id(): string {
    return this.currentRecord.id;
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

  /** False once the target is leaving or gone, or another target holds its address. */
  get isAssignable(): boolean {
    return !this.isRemoved && !this.currentRecord.draining && !this.hasWrongAddress;
  }

  /** True while the target's entry is missing and it is not known yet whether that means that the target is gone. */
  get isRemovalDeferred(): boolean {
    return this.isUnlisted;
  }

  /** Notes that the entry is missing after an outage of the store. */
  deferRemoval(): void {
    this.isUnlisted = true;
  }

  /** Takes over what the target says of itself now. */
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

  /** Notes how long the target stays cold, as it said itself. */
  markCold(coldForMs: number, nowMs: number): void {
    if (coldForMs > 0) this.coldUntilMs = Math.max(this.coldUntilMs, nowMs + coldForMs);
  }

  /** True while the target bears only few requests. */
  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs;
  }

  /** Notes that another target answered at the address. */
  markWrongAddress(): void {
    this.hasWrongAddress = true;
  }

  /** Notes a request whose connection broke: if the target turns out to be down, the request may have caused it. */
  addSuspectRequest(fingerprint: string): void {
    this.suspectFingerprints = [...this.suspectFingerprints, fingerprint].slice(
      -maxSuspectRequests,
    );
  }

  /** Requests noted as suspect since the last call. */
  takeSuspectRequests(): readonly string[] {
    const taken = this.suspectFingerprints;
    this.suspectFingerprints = [];
    return taken;
  }

  /** Notes that the platform no longer lists the target. */
  markRemoved(): void {
    this.isRemoved = true;
  }

  /** The process is a new one under the same id: nothing learned about the former one holds. */
  private resetAfterRestart(): void {
    this.health = new TargetHealth();
    this.recentObjects.clear();
    this.hasWrongAddress = false;
  }
}
