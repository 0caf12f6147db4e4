/**
 * Jest keeps every value that is assigned to a global. Effect assigns each fiber that runs, so long simulations
 * exhaust the heap without this setting.
 *
 * @jest-environment-options {"globalsCleanup": "off"}
 */
import {randomBytes} from 'node:crypto';
import {MemoryStore} from '@cuminsill/standins';
import {minTrimAgeMs} from '@cuminsill/store';
import type {Configuration} from '@cuminsill/types';
import {emptyConfiguration} from '@cuminsill/types';
import {ManualTime} from '@cuminsill/utils';
import {Effect, Either} from 'effect';
import {ConfigLog} from '../src/config_log';
import {LargeValueStore, maxObjectBytes} from '../src/large_value_store';
import {ConfigState, decodeSnapshot, encodeChange} from '../src/config_state';
import {applyChange, makeDrainChange, SimConfigFleet} from '../../loadtool/src/replay/config_fleet';

jest.setTimeout(60_000);

describe('LargeValueStore', () => {
  // Random bytes do not compress, so the value needs four objects.
  const value = randomBytes(3 * maxObjectBytes + 10);
  let store: MemoryStore;
  let values: LargeValueStore;

  beforeEach(() => {
    store = new MemoryStore();
    values = new LargeValueStore(store, 'config/parts/');
  });

  it.each([
    {name: 'small', size: 100, parts: 0},
    {name: 'compressible', size: 2_000_000, parts: 0},
  ])('reads back a $name value', async ({size, parts}) => {
    const content = Buffer.alloc(size, 'a');
    const stored = await Effect.runPromise(values.write(1, content));
    expect(store.keys()).toHaveLength(parts);
    expect(Buffer.from(await Effect.runPromise(values.read(stored))).equals(content)).toBe(true);
  });

  it('reads back a value in parts, and fails when a part is missing', async () => {
    const stored = await Effect.runPromise(values.write(1, value));
    expect(stored.byteLength).toBeLessThan(1_000);
    expect(Buffer.from(await Effect.runPromise(values.read(stored))).equals(value)).toBe(true);
    const [first] = store.keys();
    const object = await Effect.runPromise(store.get(first ?? ''));
    await Effect.runPromise(store.remove(first ?? '', object?.version ?? 0n));
    const result = await Effect.runPromise(Effect.either(values.read(stored)));
    expect(Either.isLeft(result)).toBe(true);
  });

  // A writer that fails between two parts must not damage the current value.
  it('keeps the previous value when a writer fails midway, and removes its leftover parts', async () => {
    const previous = await Effect.runPromise(values.write(5, value));
    let writes = 0;
    store.setFaultPlan(kind => (kind === 'write' && (writes += 1) > 2 ? 'unavailable' : 'none'));
    const failed = await Effect.runPromise(Effect.either(values.write(6, value)));
    expect(Either.isLeft(failed)).toBe(true);
    store.setOutage(false);
    expect(Buffer.from(await Effect.runPromise(values.read(previous))).equals(value)).toBe(true);
    const previousPartCount = 4;
    expect(store.keys()).toHaveLength(previousPartCount + 2);
    await Effect.runPromise(values.removeUnreferencedParts(7, previous));
    expect(store.keys()).toHaveLength(previousPartCount);
    expect(Buffer.from(await Effect.runPromise(values.read(previous))).equals(value)).toBe(true);
  });
});

describe('ConfigLog', () => {
  it('removes records only an hour after a checkpoint covers them, and reports the gap', async () => {
    const store = new MemoryStore();
    const time = new ManualTime();
    const log = new ConfigLog(store, time);
    const state = new ConfigState(applyChange, {maxChanges: 10, maxBytes: 1e6}, () => undefined);
    for (const version of [1, 2, 3, 4]) {
      const encoded = encodeChange(makeDrainChange(version, `p-${version}`));
      const body = await Effect.runPromise(log.prepareRecord(encoded));
      await Effect.runPromise(log.append(version, body, `nonce-${version}`));
      state.adoptChanges([encoded]);
      if (version === 2 || version === 3) {
        await Effect.runPromise(log.writeCheckpoint(state.encodeCurrent()));
      }
    }
    expect(store.keys()).toHaveLength(5);
    time.advance(minTrimAgeMs + 60_000);
    expect(await Effect.runPromise(log.readNewerCheckpoint(3))).toBeUndefined();
    await Effect.runPromise(log.writeCheckpoint(state.encodeCurrent()));
    expect(store.keys()).toEqual(['config/checkpoint', 'config/log/000000000004']);
    expect(await Effect.runPromise(log.readAfter(1))).toEqual({kind: 'gap'});
    const snapshot = await Effect.runPromise(log.readNewerCheckpoint(1));
    expect(snapshot?.configuration.version).toBe(4);
  });
});

describe('ConfigState', () => {
  const configurationAt = (version: number): Configuration => ({...emptyConfiguration, version});

  it('never adopts a lower version', () => {
    const adopted: number[] = [];
    const state = new ConfigState(applyChange, {maxChanges: 10, maxBytes: 1e6}, configuration =>
      adopted.push(configuration.version),
    );
    state.adoptSnapshot({configuration: configurationAt(7), plans: []});
    state.adoptSnapshot({configuration: configurationAt(6), plans: []});
    state.adoptChanges([
      encodeChange(makeDrainChange(7, 'a')),
      encodeChange(makeDrainChange(9, 'b')),
    ]);
    expect(adopted).toEqual([7]);
  });

  // Encoding the whole configuration for every change would be too expensive.
  it('reuses the encoded snapshot while the history holds all changes after it', () => {
    const state = new ConfigState(applyChange, {maxChanges: 3, maxBytes: 1e6}, () => undefined);
    const first = state.encodedSnapshot();
    const change = (version: number) => encodeChange(makeDrainChange(version, `p-${version}`));
    state.adoptChanges([change(1), change(2), change(3)]);
    expect(state.encodedSnapshot()).toBe(first);
    state.adoptChanges([change(4)]);
    expect(state.encodedSnapshot().version).toBe(4);
    const decoded = decodeSnapshot(state.encodedSnapshot().json);
    expect(decoded.configuration).toEqual(state.current());
    expect(decoded.plans).toHaveLength(4);
  });
});

describe('checkpoints in a fleet', () => {
  it('are written by one instance and loaded by a restarted one', () => {
    const settings = {changesPerCheckpoint: 5, historyChanges: 3};
    const fleet = new SimConfigFleet({instances: 6, regions: 2, settings});
    fleet.time.advance(5_000);
    for (let version = 1; version <= 7; version += 1) {
      expect(
        fleet.waitForResult(fleet.submit('i-1', makeDrainChange(version, `p-${version}`))),
      ).toBe(`accepted ${version}`);
      fleet.time.advance(1_000);
    }
    fleet.time.advance(20_000);
    expect(fleet.store.keys()[0]).toBe('config/checkpoint');
    for (const {instance} of fleet.runningNodes()) fleet.kill(instance.id);
    const restarted = fleet.start(fleet.instanceAt(0));
    fleet.time.advance(5_000);
    expect(restarted.sync.current().intents).toHaveLength(7);
    expect(restarted.sync.planVersion('plan-p-1')).toBe(1);
  });
});
