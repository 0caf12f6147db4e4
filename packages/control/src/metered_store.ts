/** Counts the calls of the platform's store, which bills every call against its rate. */
import type {Metrics} from '@cuminsill/logger';
import type {PlatformStore} from '@cuminsill/store';
import type {TimeSource} from '@cuminsill/utils';
import {Cause, Effect, Exit, Option} from 'effect';

/** A store that counts calls by kind and result, and measures how long they take. */
export function meteredStore(
  store: PlatformStore,
  metrics: Metrics,
  time: TimeSource,
): PlatformStore {
  const metered = <A, E extends {readonly _tag: string}>(
    kind: string,
    call: Effect.Effect<A, E>,
  ): Effect.Effect<A, E> =>
    Effect.suspend(() => {
      const startedAtMs = time.monotonicMs();
      return call.pipe(
        Effect.onExit(exit =>
          Effect.sync(() => {
            metrics.count('store.calls', 1, {kind, result: resultOf(exit)});
            metrics.histogram('store.call_ms', time.monotonicMs() - startedAtMs, {kind});
          }),
        ),
      );
    });
  return {
    get: key => metered('get', store.get(key)),
    create: (key, value) => metered('create', store.create(key, value)),
    update: (key, value, version) => metered('update', store.update(key, value, version)),
    remove: (key, version) => metered('remove', store.remove(key, version)),
    list: (prefix, afterKey, limit) => metered('list', store.list(prefix, afterKey, limit)),
    watch: (prefix, afterKey, waitMs) => metered('watch', store.watch(prefix, afterKey, waitMs)),
  };
}

function resultOf<A, E extends {readonly _tag: string}>(exit: Exit.Exit<A, E>): string {
  if (Exit.isSuccess(exit)) return 'ok';
  const failure = Option.getOrUndefined(Cause.failureOption(exit.cause));
  if (failure !== undefined) return resultNames[failure._tag] ?? 'failed';
  return Cause.isInterruptedOnly(exit.cause) ? 'interrupted' : 'failed';
}

const resultNames: Readonly<Record<string, string>> = {
  StoreConflictError: 'conflict',
  StoreUnavailableError: 'unavailable',
  StoreAmbiguousError: 'ambiguous',
};
