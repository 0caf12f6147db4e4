import {HttpStore} from '@cuminsill/store';
import {Effect} from 'effect';
import {MemoryStore} from '../src/memory_store';
import type {RunningServer} from '../src/http_server';
import {startStoreServer} from '../src/store_server';
import type {StoreFaultSettings} from '../src/store_server';

const bytes = (text: string) => new TextEncoder().encode(text);

describe('store server', () => {
  let server: RunningServer;
  let store: HttpStore;

  beforeEach(async () => {
    server = await startStoreServer(new MemoryStore(), '127.0.0.1', 0);
    store = new HttpStore({...server.address, timeoutMs: 5000});
  });

  afterEach(async () => {
    store.close();
    await server.close();
  });

  const url = (path: string) => `http://127.0.0.1:${server.address.port}${path}`;
  const setFaults = (faults: StoreFaultSettings) =>
    fetch(url('/faults'), {method: 'POST', body: JSON.stringify(faults)});
  const tagOf = async (effect: Effect.Effect<unknown, {readonly _tag: string}>) => {
    const result = await Effect.runPromise(Effect.either(effect));
    return result._tag === 'Left' ? result.left._tag : 'ok';
  };

  // Guards against differences from the API that HttpStore expects.
  it('creates, reads, replaces, lists and removes', async () => {
    const first = await Effect.runPromise(store.create('a/b c', bytes('1')));
    expect(await tagOf(store.create('a/b c', bytes('2')))).toBe('StoreConflictError');
    expect(await tagOf(store.update('a/b c', bytes('2'), first + 1n))).toBe('StoreConflictError');
    const second = await Effect.runPromise(store.update('a/b c', bytes('2'), first));
    expect(second).toBeGreaterThan(first);
    const read = await Effect.runPromise(store.get('a/b c'));
    expect(read && Buffer.from(read.value).toString()).toBe('2');
    await Effect.runPromise(store.create('a/d', bytes('3')));
    const listed = await Effect.runPromise(store.list('a/', 'a/b c', 10));
    expect(listed.map(object => object.key)).toEqual(['a/d']);
    expect(await tagOf(store.remove('a/b c', first))).toBe('StoreConflictError');
    expect(await tagOf(store.remove('a/b c', second))).toBe('ok');
    expect(await Effect.runPromise(store.get('a/b c'))).toBeUndefined();
  });

  it('ends a watch when an object appears', async () => {
    const watched = Effect.runPromise(store.watch('log/', 'log/1', 60_000));
    await Effect.runPromise(store.create('log/1', bytes('old')));
    await Effect.runPromise(store.create('log/2', bytes('new')));
    expect((await watched).map(object => object.key)).toEqual(['log/2']);
  });

  // Guards against a lost answer that looks like a failed write, after which a client would write again.
  it.each([
    [{outage: true}, 'StoreUnavailableError', false],
    [{lostAnswers: {count: 1, appliesWrite: true}}, 'StoreAmbiguousError', true],
    [{lostAnswers: {count: 1, appliesWrite: false}}, 'StoreAmbiguousError', false],
    [{latencyMs: 1}, 'ok', true],
  ] as const)('with faults %j a write ends as %s', async (faults, expectedTag, expectedWritten) => {
    await setFaults(faults);
    expect(await tagOf(store.create('k', bytes('v')))).toBe(expectedTag);
    await setFaults({});
    const written = (await Effect.runPromise(store.get('k'))) !== undefined;
    expect(written).toBe(expectedWritten);
    const counts = (await (await fetch(url('/counts'))).json()) as object;
    expect(counts).toEqual({reads: 1, writes: 1, watches: 0});
  });
});
