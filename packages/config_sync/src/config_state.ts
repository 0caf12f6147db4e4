/**
 * The configuration in force, the recent changes that peers may be missing, and the digests of confirmed plans. The
 * version only grows. A change is encoded once, by the instance it is submitted to; other instances forward the
 * bytes that they received.
 */
import type {Configuration, ConfigurationChange} from '@cuminsill/types';
import {emptyConfiguration} from '@cuminsill/types';
import {
  ConfigurationChangeSchema,
  ConfigurationSchema,
  decodeJsonOrThrow,
  decodeOrThrow,
} from '@cuminsill/validation';
import type {ApplyChange, ConfigListener} from './options';

/** Number of plans kept to recognise a repeated confirmation; covers about two hours at 12,000 changes a day. */
const maxRememberedPlans = 1_024;

/** A change and its JSON encoding. */
export interface EncodedChange {
  readonly change: ConfigurationChange;
  readonly json: Uint8Array;
}

/** A confirmed plan and the version that it produced. */
export interface ConfirmedPlan {
  readonly planDigest: string;
  readonly version: number;
}

/** A JSON encoding of a whole configuration and its confirmed plans. */
export interface EncodedSnapshot {
  readonly version: number;
  readonly json: Uint8Array;
}

/** Limits of the change history. */
export interface HistoryLimits {
  readonly maxChanges: number;
  readonly maxBytes: number;
}

/** Holds the configuration in force and its recent history. */
export class ConfigState {
  private configuration: Configuration = emptyConfiguration;
  private history: EncodedChange[] = [];
  private historyBytes = 0;
  private planVersions = new Map<string, number>();
  private lastSnapshot: EncodedSnapshot | undefined;

  constructor(
    private readonly applyChange: ApplyChange,
    private readonly limits: HistoryLimits,
    private readonly onAdopt: ConfigListener,
  ) {}

  /** The configuration in force. */
  current(): Configuration {
    return this.configuration;
  }

  /** The version in force. */
  version(): number {
    return this.configuration.version;
  }

  /** Version that a confirmed plan produced; undefined when the plan is not among those kept. */
  planVersion(planDigest: string): number | undefined {
    return this.planVersions.get(planDigest);
  }

  /**
   * Applies the changes that follow the version in force, skips those already in force and stops at a missing
   * version. Returns how many were applied. Throws when a change cannot be applied; those before it stay applied.
   */
  adoptChanges(changes: readonly EncodedChange[]): number {
    let appliedCount = 0;
    try {
      for (const encoded of changes) {
        if (encoded.change.version <= this.version()) continue;
        if (encoded.change.version > this.version() + 1) break;
        const next = this.applyChange(this.configuration, encoded.change);
        // The version is always the log position, whatever `applyChange` returned.
        this.configuration = {...next, version: encoded.change.version};
        this.addToHistory(encoded);
        appliedCount += 1;
      }
    } finally {
      if (appliedCount > 0) this.onAdopt(this.configuration);
    }
    return appliedCount;
  }

  /** Replaces the configuration if the snapshot has a higher version; returns whether it did. */
  adoptSnapshot(snapshot: DecodedSnapshot): boolean {
    if (snapshot.configuration.version <= this.version()) return false;
    this.configuration = snapshot.configuration;
    this.history = [];
    this.historyBytes = 0;
    this.lastSnapshot = undefined;
    for (const plan of snapshot.plans) this.rememberPlan(plan);
    this.onAdopt(this.configuration);
    return true;
  }

  /** The changes after a version; undefined when the history no longer holds all of them. */
  changesAfter(version: number): readonly EncodedChange[] | undefined {
    const historyStartVersion = this.version() - this.history.length;
    if (version < historyStartVersion) return undefined;
    return this.history.slice(version - historyStartVersion);
  }

  /**
   * An encoded configuration, which may be older than the one in force; the recipient also needs the changes after
   * its version. It is encoded again only when the history no longer holds these changes, because encoding the whole
   * configuration for every change would be expensive.
   */
  encodedSnapshot(): EncodedSnapshot {
    if (
      this.lastSnapshot === undefined ||
      this.changesAfter(this.lastSnapshot.version) === undefined
    ) {
      return this.encodeCurrent();
    }
    return this.lastSnapshot;
  }

  /** Encodes the configuration in force. */
  encodeCurrent(): EncodedSnapshot {
    this.lastSnapshot = {version: this.version(), json: this.encodeJson()};
    return this.lastSnapshot;
  }

  private encodeJson(): Uint8Array {
    const plans = [...this.planVersions].map(([planDigest, version]) => ({planDigest, version}));
    return Buffer.from(JSON.stringify({configuration: this.configuration, plans}));
  }

  private addToHistory(encoded: EncodedChange): void {
    this.history.push(encoded);
    this.historyBytes += encoded.json.byteLength;
    const {maxChanges, maxBytes} = this.limits;
    let droppedCount = 0;
    while (this.history.length - droppedCount > maxChanges || this.historyBytes > maxBytes) {
      this.historyBytes -= this.history[droppedCount]?.json.byteLength ?? 0;
      droppedCount += 1;
    }
    if (droppedCount > 0) this.history.splice(0, droppedCount);
    const {planDigest, version} = encoded.change;
    this.rememberPlan({planDigest, version});
  }

  private rememberPlan(plan: ConfirmedPlan): void {
    if (plan.planDigest === '') return;
    this.planVersions.set(plan.planDigest, plan.version);
    if (this.planVersions.size <= maxRememberedPlans) return;
    const [oldest] = this.planVersions.keys();
    if (oldest !== undefined) this.planVersions.delete(oldest);
  }
}

/** A decoded configuration and its confirmed plans. */
export interface DecodedSnapshot {
  readonly configuration: Configuration;
  readonly plans: readonly ConfirmedPlan[];
}

/** Encodes a change as JSON. */
export function encodeChange(change: ConfigurationChange): EncodedChange {
  return {change, json: Buffer.from(JSON.stringify(change))};
}

/** Decodes a change and validates every field. Throws InvalidDataError. */
export function decodeChange(json: Uint8Array): EncodedChange {
  const text = Buffer.from(json.buffer, json.byteOffset, json.byteLength).toString('utf8');
  const change = decodeJsonOrThrow('configuration change', ConfigurationChangeSchema, text);
  return {change, json};
}

/** Decodes a whole configuration and validates every field. Throws InvalidDataError; skips invalid plans. */
export function decodeSnapshot(json: Uint8Array): DecodedSnapshot {
  const text = Buffer.from(json.buffer, json.byteOffset, json.byteLength).toString('utf8');
  const parsed = JSON.parse(text) as {configuration?: unknown; plans?: unknown};
  const configuration = decodeOrThrow('configuration', ConfigurationSchema, parsed.configuration);
  const plans = Array.isArray(parsed.plans) ? (parsed.plans as unknown[]) : [];
  return {configuration, plans: plans.filter(isConfirmedPlan)};
}

function isConfirmedPlan(value: unknown): value is ConfirmedPlan {
  if (typeof value !== 'object' || value === null) return false;
  const plan = value as Partial<ConfirmedPlan>;
  return typeof plan.planDigest === 'string' && Number.isSafeInteger(plan.version);
}
