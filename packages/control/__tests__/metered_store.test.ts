import type {Metrics, MetricTags} from '@cuminsill/logger';
import {silentMetrics} from '@cuminsill/logger';
import type {PlatformStore} from '@cuminsill/store';
import {StoreAmbiguousError, StoreConflictError, StoreUnavailableError} from '@cuminsill/store';
import {ManualTime} from '@cuminsill/utils';
import {Effect} from 'effect';
import {instrumentedStore} from '../src/metered_store';

const unavailable = new StoreUnavailableError({detail: 'down'});
const fakeStore: PlatformStore = {
  get: () => Effect.succeed(undefined),
  create: key => Effect.fail(new StoreConflictError({key})),
  update: () => Effect.fail(new StoreAmbiguousError({detail: 'lost'})),
  remove: () => Effect.die(new Error('defect')),
  list: () => Effect.fail(unavailable),
  watch: () => Effect.interrupt,
};

interface StoreCallCase {
  readonly kind: string;
  readonly result: string;
  readonly call: (store: PlatformStore) => Effect.Effect<unknown, unknown>;
}

const cases: readonly StoreCallCase[] = [
  {kind: 'get', result: 'ok', call: store => store.get('a')},
  {kind: 'create', result: 'conflict', call: store => store.create('a', new Uint8Array())},
  {kind: 'update', result: 'ambiguous', call: store => store.update('a', new Uint8Array(), 1n)},
  {kind: 'remove', result: 'failed', call: store => store.remove('a', 1n)},
  {kind: 'list', result: 'unavailable', call: store => store.list('a', '', 1)},
  {kind: 'watch', result: 'interrupted', call: store => store.watch('a', '', 1)},
];

// Guards against calls that are not counted, and against instrumentation that changes the result of a call.
describe('instrumentedStore', () => {
  it.each(cases)('counts $kind that ends with $result', async ({kind, result, call}) => {
    const countedTags: Array<MetricTags | undefined> = [];
    const metrics: Metrics = {
      ...silentMetrics,
      count: (_name, _amount, tags) => void countedTags.push(tags),
    };
    const instrumented = instrumentedStore(fakeStore, metrics, new ManualTime());
    const exit = await Effect.runPromiseExit(call(instrumented));
    expect(countedTags).toEqual([{kind, result}]);
    expect(exit._tag).toBe((await Effect.runPromiseExit(call(fakeStore)))._tag);
  });
});
