/**
 * The configuration in force, with what peers need of its past: the encoded changes of late, and the digests of
 * confirmed plans. The version only grows. A change is encoded once, where it is submitted; everybody else passes
 * on the bytes received.
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

/** Plans remembered, so that confirming one again is recognised; about two hours at 12,000 changes a day. */
const maxPlans = 1_024;

/** One change with its encoding. */
export interface EncodedChange {
  readonly change: ConfigurationChange;
  readonly json: Uint8Array;
}

/** A confirmed plan and the version that it led to. */
export interface ConfirmedPlan {
  readonly planDigest: string;
  readonly version: number;
}

/** A whole configuration in encoded form. */
export interface EncodedSnapshot {
  readonly version: number;
  readonly json: Uint8Array;
}

/** Limits of the history. */
export interface HistoryLimits {
  readonly maxChanges: number;
  readonly maxBytes: number;
}

/** Holds the configuration. */
export class SnapshotState {
  private configuration: Configuration = emptyConfiguration;
  private history: EncodedChange[] = [];
  private historyBytes = 0;
  private plans = new Map<string, number>();
  private snapshot: EncodedSnapshot | undefined;

  constructor(
    private readonly applyChange: ApplyChange,
    private readonly limits: HistoryLimits,
    private readonly notify: ConfigListener,
  ) {}

  /** The configuration in force. */
  current(): Configuration {
    return this.configuration;
  }

  /** The version in force. */
  version(): number {
    return this.configuration.version;
  }

  /** Version that a confirmed plan led to; undefined when the plan is not among those remembered. */
  planVersion(planDigest: string): number | undefined {
    return this.plans.get(planDigest);
  }

  /**
   * Applies the changes that continue the version in force and skips those already in force. Returns how many
   * were applied. Throws when a change cannot be applied; those before it stay applied.
   */
  adoptChanges(changes: readonly EncodedChange[]): number {
    let applied = 0;
    try {
      for (const encoded of changes) {
        if (encoded.change.version <= this.version()) continue;
        if (encoded.change.version > this.version() + 1) break;
        const next = this.applyChange(this.configuration, encoded.change);
        // The version is the log position; an applied change must not set anything else.
        this.configuration = {...next, version: encoded.change.version};
        this.remember(encoded);
        applied += 1;
      }
    } finally {
      if (applied > 0) this.notify(this.configuration);
    }
    return applied;
  }

  /** Replaces the configuration by one of a higher version; returns whether it did. */
  adoptSnapshot(snapshot: DecodedSnapshot): boolean {
    if (snapshot.configuration.version <= this.version()) return false;
    this.configuration = snapshot.configuration;
    this.history = [];
    this.historyBytes = 0;
    this.snapshot = undefined;
    for (const plan of snapshot.plans) this.rememberPlan(plan);
    this.notify(this.configuration);
    return true;
  }

  /** Changes above a version; undefined when some of them are no longer held. */
  changesAfter(version: number): readonly EncodedChange[] | undefined {
    const first = this.version() - this.history.length;
    if (version < first) return undefined;
    return this.history.slice(version - first);
  }

  /**
   * A whole configuration in encoded form. It is encoded again only when the history no longer reaches back to
   * the last one, so a change does not cost an encoding; the reader adds the changes after its version.
   */
  encodedSnapshot(): EncodedSnapshot {
    if (this.snapshot === undefined || this.changesAfter(this.snapshot.version) === undefined) {
      return this.encodeNow();
    }
    return this.snapshot;
  }

  /** Encodes the configuration in force, for a checkpoint. */
  encodeNow(): EncodedSnapshot {
    this.snapshot = {version: this.version(), json: this.encode()};
    return this.snapshot;
  }

  private encode(): Uint8Array {
    const plans = [...this.plans].map(([planDigest, version]) => ({planDigest, version}));
    return Buffer.from(JSON.stringify({configuration: this.configuration, plans}));
  }

  private remember(encoded: EncodedChange): void {
    this.history.push(encoded);
    this.historyBytes += encoded.json.byteLength;
    const {maxChanges, maxBytes} = this.limits;
    let dropped = 0;
    while (this.history.length - dropped > maxChanges || this.historyBytes > maxBytes) {
      this.historyBytes -= this.history[dropped]?.json.byteLength ?? 0;
      dropped += 1;
    }
    if (dropped > 0) this.history.splice(0, dropped);
    const {planDigest, version} = encoded.change;
    this.rememberPlan({planDigest, version});
  }

  private rememberPlan(plan: ConfirmedPlan): void {
    if (plan.planDigest === '') return;
    this.plans.set(plan.planDigest, plan.version);
    if (this.plans.size <= maxPlans) return;
    const [oldest] = this.plans.keys();
    if (oldest !== undefined) this.plans.delete(oldest);
  }
}

/** A whole configuration as received. */
export interface DecodedSnapshot {
  readonly configuration: Configuration;
  readonly plans: readonly ConfirmedPlan[];
}

/** Encodes a change. */
export function encodeChange(change: ConfigurationChange): EncodedChange {
  return {change, json: Buffer.from(JSON.stringify(change))};
}

/** Decodes a change and checks every field. Throws InvalidDataError. */
export function decodeChange(json: Uint8Array): EncodedChange {
  const text = Buffer.from(json.buffer, json.byteOffset, json.byteLength).toString('utf8');
  const change = decodeJsonOrThrow('configuration change', ConfigurationChangeSchema, text);
  return {change, json};
}

/** Decodes a whole configuration and checks every field. Throws InvalidDataError. */
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
