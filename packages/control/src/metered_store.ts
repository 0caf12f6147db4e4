/** Metrics of the calls to the platform store, because every call counts towards its rate limit. */
import type {Metrics} from '@cuminsill/logger';
import type {PlatformStore} from '@cuminsill/store';
import type {TimeSource} from '@cuminsill/utils';
import {Cause, Effect, Exit, Option} from 'effect';

/** Wraps a store so that its calls are counted by kind and result and their durations are recorded. */
export function instrumentedStore(
  store: PlatformStore,
  metrics: Metrics,
  time: TimeSource,
): PlatformStore {
  const measured = <A, E extends {readonly _tag: string}>(
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
    get: key => measured('get', store.get(key)),
    create: (key, value) => measured('create', store.create(key, value)),
    update: (key, value, version) => measured('update', store.update(key, value, version)),
    remove: (key, version) => measured('remove', store.remove(key, version)),
    list: (prefix, afterKey, limit) => measured('list', store.list(prefix, afterKey, limit)),
    watch: (prefix, afterKey, waitMs) => measured('watch', store.watch(prefix, afterKey, waitMs)),
  };
}

function resultOf<A, E extends {readonly _tag: string}>(exit: Exit.Exit<A, E>): string {
  if (Exit.isSuccess(exit)) return 'ok';
  const failure = Option.getOrUndefined(Cause.failureOption(exit.cause));
  if (failure !== undefined) return resultsByErrorTag[failure._tag] ?? 'failed';
  return Cause.isInterruptedOnly(exit.cause) ? 'interrupted' : 'failed';
}

const resultsByErrorTag: Readonly<Record<string, string>> = {
  StoreConflictError: 'conflict',
  StoreUnavailableError: 'unavailable',
  StoreAmbiguousError: 'ambiguous',
};
