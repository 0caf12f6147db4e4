import {MemoryStore} from '@cuminsill/standins';
import type {StoreFault} from '@cuminsill/standins';
import {minTrimAgeMs, StoreLog} from '@cuminsill/store';
import {ManualTime} from '@cuminsill/utils';
import {Effect, Either} from 'effect';

const encode = (text: string) => new TextEncoder().encode(text);

function failNextWrite(store: MemoryStore, fault: StoreFault): void {
  let isUsed = false;
  store.setFaultPlan(kind => {
    if (kind !== 'write' || isUsed) return 'none';
    isUsed = true;
    return fault;
  });
}

async function tagOf(effect: Effect.Effect<unknown, {readonly _tag: string}>): Promise<string> {
  const result = await Effect.runPromise(Effect.either(effect));
  return Either.isLeft(result) ? result.left._tag : 'ok';
}

describe('StoreLog', () => {
  let store: MemoryStore;
  let time: ManualTime;
  let log: StoreLog;

  beforeEach(() => {
    store = new MemoryStore();
    time = new ManualTime();
    log = new StoreLog(store, 'test', time);
  });

  it('lets exactly one of two concurrent writers append at a position', async () => {
    const other = new StoreLog(store, 'test', time);
    const results = await Promise.all([
      tagOf(log.append(1, encode('a'))),
      tagOf(other.append(1, encode('b'))),
    ]);
    expect([...results].sort()).toEqual(['LogPositionTakenError', 'ok']);
  });

  // Guards against a second append, or a reported failure of an append that took effect, after a lost answer.
  it.each([
    ['answer-lost-after-write', 'ok', 1],
    ['answer-lost-before-write', 'StoreAmbiguousError', 0],
    ['unavailable', 'StoreUnavailableError', 0],
  ] as const)('resolves %s to %s', async (fault, expectedTag, expectedRecords) => {
    failNextWrite(store, fault);
    expect(await tagOf(log.append(1, encode('a'), 'nonce'))).toBe(expectedTag);
    expect(await Effect.runPromise(log.readAfter(0))).toHaveLength(expectedRecords);
  });

  it('reads back what was appended, in order, over several pages', async () => {
    for (let position = 1; position <= 450; position += 1) {
      await Effect.runPromise(log.append(position, encode(String(position))));
    }
    const records = await Effect.runPromise(log.readAfter(10));
    expect(records.map(record => record.position)).toEqual(
      Array.from({length: 440}, (_, index) => index + 11),
    );
    expect(Buffer.from(records[0]?.body ?? []).toString()).toBe('11');
  });

  // Guards against a paused writer that recreates a position after the position was trimmed.
  it('fails an append by a writer that was paused until its position was trimmed', async () => {
    const paused = new StoreLog(store, 'test', time);
    await Effect.runPromise(log.append(1, encode('a')));
    await Effect.runPromise(log.append(2, encode('b')));
    await Effect.runPromise(log.writeCheckpoint(2, encode('ab'), undefined));
    time.advance(minTrimAgeMs);
    await Effect.runPromise(log.trimThrough(2));
    expect(await tagOf(paused.append(2, encode('late')))).toBe('LogPositionTakenError');
  });

  it('ends a watch when a record is appended', async () => {
    const pendingWatch = Effect.runPromise(log.watchAfter(0, 60_000));
    await Effect.runPromise(log.append(1, encode('a')));
    expect((await pendingWatch).map(record => record.position)).toEqual([1]);
  });
});
