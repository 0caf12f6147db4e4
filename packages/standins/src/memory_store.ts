/**
 * In-memory stand-in for the platform's object store, with versions, conditional updates, watches and call counts. It can
 * simulate outages, latency, and answers that are lost before or after a write took effect.
 */
import type {PlatformStore, StoredObject, StoreReadError, StoreWriteError} from '@cuminsill/store';
import {
  maxValueBytes,
  StoreAmbiguousError,
  StoreConflictError,
  StoreUnavailableError,
} from '@cuminsill/store';
import {Duration, Effect} from 'effect';

/** Fault that the store simulates in one call. */
export type StoreFault =
  | 'none'
  /** The call is refused; nothing is written. */
  | 'unavailable'
  /** The write takes effect and its answer is lost. */
  | 'answer-lost-after-write'
  /** The write does not take effect and its answer is lost, so the caller cannot tell. */
  | 'answer-lost-before-write';

/** Kinds of calls, which the platform counts separately. */
export type StoreCallKind = 'read' | 'write' | 'watch';

/** Selects the fault of a call. Called once per call. */
export type FaultSelector = (kind: StoreCallKind, key: string) => StoreFault;

/** Numbers of calls since the start. A watch counts each time it is started. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

interface Watcher {
  readonly prefix: string;
  readonly afterKey: string;
  readonly notify: () => void;
}

/** In-memory object store with simulated faults. */
export class MemoryStore implements PlatformStore {
  private readonly objects = new Map<string, StoredObject>();
  private readonly watchers = new Set<Watcher>();
  private lastVersion = 0n;
  private counts = {read: 0, write: 0, watch: 0};
  private selectFault: FaultSelector = () => 'none';
  private latencyMs = 0;

  /** Sets the faults of the following calls. */
  setFaultPlan(plan: FaultSelector): void {
    this.selectFault = plan;
  }

  /** Starts an outage, in which every call fails, or ends it. */
  setOutage(isDown: boolean): void {
    this.selectFault = () => (isDown ? 'unavailable' : 'none');
  }

  /** Sets the delay of every call. */
  setLatency(latencyMs: number): void {
    this.latencyMs = latencyMs;
  }

  /** Numbers of calls since the start. */
  callCounts(): StoreCallCounts {
    return {reads: this.counts.read, writes: this.counts.write, watches: this.counts.watch};
  }

  /** Sorted keys of all objects, for assertions. */
  keys(): readonly string[] {
    return [...this.objects.keys()].sort();
  }

  get(key: string): Effect.Effect<StoredObject | undefined, StoreReadError> {
    return this.readCall('read', key, () => this.objects.get(key));
  }

  create(key: string, value: Uint8Array): Effect.Effect<bigint, StoreWriteError> {
    return this.writeCall(key, value, () => this.objects.has(key));
  }

  update(
    key: string,
    value: Uint8Array,
    expectedVersion: bigint,
  ): Effect.Effect<bigint, StoreWriteError> {
    return this.writeCall(key, value, () => this.objects.get(key)?.version !== expectedVersion);
  }

  remove(key: string, expectedVersion: bigint): Effect.Effect<void, StoreWriteError> {
    const conflicts = () => this.objects.get(key)?.version !== expectedVersion;
    return this.writeCall(key, undefined, conflicts).pipe(Effect.asVoid);
  }

  list(
    prefix: string,
    afterKey: string,
    limit: number,
  ): Effect.Effect<readonly StoredObject[], StoreReadError> {
    return this.readCall('read', prefix, () => this.findMatching(prefix, afterKey).slice(0, limit));
  }

  watch(
    prefix: string,
    afterKey: string,
    waitMs: number,
  ): Effect.Effect<readonly StoredObject[], StoreReadError> {
    return this.readCall('watch', prefix, () => undefined).pipe(
      Effect.flatMap(() => this.waitForMatch(prefix, afterKey)),
      Effect.timeoutTo({
        duration: Duration.millis(waitMs),
        onTimeout: (): readonly StoredObject[] => [],
        onSuccess: found => found,
      }),
    );
  }

  private waitForMatch(
    prefix: string,
    afterKey: string,
  ): Effect.Effect<readonly StoredObject[], StoreReadError> {
    return Effect.async<readonly StoredObject[]>(resume => {
      const tryResume = () => {
        const found = this.findMatching(prefix, afterKey);
        if (found.length === 0) return false;
        resume(Effect.succeed(found));
        return true;
      };
      if (tryResume()) return;
      const watcher: Watcher = {
        prefix,
        afterKey,
        notify: () => {
          if (tryResume()) this.watchers.delete(watcher);
        },
      };
      this.watchers.add(watcher);
      return Effect.sync(() => void this.watchers.delete(watcher));
    });
  }

  private readCall<A>(
    kind: StoreCallKind,
    key: string,
    read: () => A,
  ): Effect.Effect<A, StoreReadError> {
    return Effect.gen(this, function* () {
      this.counts[kind] += 1;
      const fault = this.selectFault(kind, key);
      yield* this.delay();
      if (fault !== 'none') return yield* new StoreUnavailableError({detail: fault});
      return read();
    });
  }

  private writeCall(
    key: string,
    value: Uint8Array | undefined,
    conflicts: () => boolean,
  ): Effect.Effect<bigint, StoreWriteError> {
    return Effect.gen(this, function* () {
      this.counts.write += 1;
      const fault = this.selectFault('write', key);
      yield* this.delay();
      if (fault === 'unavailable') return yield* new StoreUnavailableError({detail: fault});
      if (fault === 'answer-lost-before-write') {
        return yield* new StoreAmbiguousError({detail: fault});
      }
      if (value !== undefined && value.byteLength > maxValueBytes) {
        return yield* new StoreUnavailableError({
          detail: `value of ${value.byteLength} bytes exceeds the limit of ${maxValueBytes} bytes`,
        });
      }
      const conflict = conflicts();
      if (!conflict) this.applyWrite(key, value);
      if (fault === 'answer-lost-after-write') {
        return yield* new StoreAmbiguousError({detail: fault});
      }
      return conflict ? yield* new StoreConflictError({key}) : this.lastVersion;
    });
  }

  private applyWrite(key: string, value: Uint8Array | undefined): void {
    this.lastVersion += 1n;
    if (value === undefined) {
      this.objects.delete(key);
      return;
    }
    this.objects.set(key, {key, value, version: this.lastVersion});
    for (const watcher of [...this.watchers]) {
      if (key.startsWith(watcher.prefix) && key > watcher.afterKey) watcher.notify();
    }
  }

  private findMatching(prefix: string, afterKey: string): readonly StoredObject[] {
    return [...this.objects.values()]
      .filter(object => object.key.startsWith(prefix) && object.key > afterKey)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  private delay(): Effect.Effect<void> {
    return this.latencyMs === 0 ? Effect.void : Effect.sleep(Duration.millis(this.latencyMs));
  }
}
