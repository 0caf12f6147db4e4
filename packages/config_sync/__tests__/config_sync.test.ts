/**
 * Jest keeps every value that is assigned to a global. Effect assigns each fiber that runs, so long simulations
 * exhaust the heap without this setting.
 *
 * @jest-environment-options {"globalsCleanup": "off"}
 */
import type {StoreFault} from '@cuminsill/standins';
import * as fc from 'fast-check';
import type {ConfigFleetOptions} from '../../loadtool/src/replay/config_fleet';
import {makeDrainChange, SimConfigFleet} from '../../loadtool/src/replay/config_fleet';

jest.setTimeout(60_000);

function runningFleet(options: ConfigFleetOptions = {instances: 12, regions: 3}): SimConfigFleet {
  const fleet = new SimConfigFleet(options);
  fleet.time.advance(5_000);
  return fleet;
}

function failNextWrite(fleet: SimConfigFleet, fault: StoreFault): void {
  let faults = 0;
  fleet.store.setFaultPlan(kind => {
    if (kind !== 'write' || faults > 0) return 'none';
    faults += 1;
    return fault;
  });
}

describe('submitting a change', () => {
  it('accepts it, and all instances adopt it', () => {
    const fleet = runningFleet();
    expect(fleet.waitForResult(fleet.submit('i-4', makeDrainChange(1, 'a')))).toBe('accepted 1');
    expect(fleet.waitForAdoption(1, 15_000)).toBeDefined();
    expect(fleet.reverted).toEqual([]);
  });

  it('accepts one of two concurrent changes and refuses the other with a conflict', () => {
    const fleet = runningFleet();
    const first = fleet.submit('i-1', makeDrainChange(1, 'a'));
    const second = fleet.submit('i-2', makeDrainChange(1, 'b'));
    const results = [fleet.waitForResult(first), fleet.waitForResult(second)];
    expect(results.sort()).toEqual(['ConfigConflictError', 'accepted 1']);
  });

  it('refuses a change that follows an older configuration', () => {
    const fleet = runningFleet();
    fleet.waitForResult(fleet.submit('i-1', makeDrainChange(1, 'a')));
    expect(fleet.waitForResult(fleet.submit('i-1', makeDrainChange(1, 'b')))).toBe(
      'ConfigConflictError',
    );
  });

  it.each(['answer-lost-after-write', 'answer-lost-before-write'] as const)(
    'stores it once when the answer of the store is lost (%s)',
    fault => {
      const fleet = runningFleet();
      failNextWrite(fleet, fault);
      expect(fleet.waitForResult(fleet.submit('i-1', makeDrainChange(1, 'a')))).toBe('accepted 1');
      expect(fleet.store.keys()).toEqual(['config/log/000000000001']);
    },
  );

  it('returns the first result when a plan is confirmed again, through any instance', () => {
    const fleet = runningFleet();
    const fibers = [
      fleet.submit('i-1', makeDrainChange(1, 'a')),
      fleet.submit('i-2', makeDrainChange(1, 'a')),
    ];
    expect(fibers.map(fiber => fleet.waitForResult(fiber))).toEqual(['accepted 1', 'accepted 1']);
    expect(fleet.waitForResult(fleet.submit('i-3', makeDrainChange(1, 'a')))).toBe('accepted 1');
    expect(fleet.store.keys()).toHaveLength(1);
  });

  it('reports an unknown outcome while the store does not answer, and resolves it later', () => {
    const fleet = runningFleet();
    fleet.store.setFaultPlan(kind =>
      kind === 'write' ? 'answer-lost-after-write' : 'unavailable',
    );
    expect(fleet.waitForResult(fleet.submit('i-1', makeDrainChange(1, 'a')))).toBe(
      'ConfigOutcomeUnknownError',
    );
    fleet.store.setOutage(false);
    expect(fleet.waitForResult(fleet.submit('i-1', makeDrainChange(1, 'a')))).toBe('accepted 1');
  });

  it('fails during an outage of the store', () => {
    const fleet = runningFleet();
    fleet.store.setOutage(true);
    const result = fleet.waitForResult(fleet.submit('i-1', makeDrainChange(1, 'a')));
    expect(result).toBe('ConfigStoreUnavailableError');
  });

  it('is stored, but not accepted, when no other failure domain answers', () => {
    const fleet = runningFleet();
    fleet.isLinkCut = (from, to) => from.failureDomainId !== to.failureDomainId;
    expect(fleet.waitForResult(fleet.submit('i-4', makeDrainChange(1, 'a')))).toBe('stored 1');
  });
});

describe('distribution', () => {
  // Before it answers, the accepting instance pushes the change to two peers in other failure domains. These must be
  // able to distribute it without the accepting instance.
  it.each([1, 2, 3, 4, 5])(
    'completes without the store and the accepting instance (seed %i)',
    seed => {
      const fleet = runningFleet({instances: 60, regions: 3, seed});
      // The watchers must not see the change in the store.
      fleet.store.setFaultPlan(kind => (kind === 'write' ? 'none' : 'unavailable'));
      fleet.time.advance(31_000);
      const fiber = fleet.submit('i-7', makeDrainChange(1, 'a'));
      fleet.time.advanceUntil(() => fiber.unsafePoll() !== null, 5_000, 1);
      expect(fleet.waitForResult(fiber)).toBe('accepted 1');
      fleet.kill('i-7');
      fleet.store.setOutage(true);
      expect(fleet.waitForAdoption(1, 15_000)).toBeDefined();
    },
  );

  it('reaches all instances within 15 s with 20% message loss', () => {
    const fleet = runningFleet({instances: 60, regions: 3});
    fleet.lossRate = 0.2;
    fleet.submit('i-4', makeDrainChange(1, 'a'));
    expect(fleet.waitForAdoption(1, 15_000)).toBeDefined();
  });

  it('ignores and counts invalid messages', () => {
    const fleet = runningFleet();
    const {sync} = fleet.node('i-1');
    const invalidChanges = [Buffer.from('{'), Buffer.from('{"version":"1"}')];
    for (const json of invalidChanges) {
      fleet.time.fork(sync.receivePush({changesJson: [json], forwardToInstanceIds: []} as never));
    }
    fleet.time.fork(sync.receivePush({changesJson: [], forwardToInstanceIds: ['../x']} as never));
    expect(sync.invalidParts()).toBe(3);
    expect(sync.current().version).toBe(0);
  });
});

describe('outages', () => {
  it('loads the configuration from peers when an instance restarts during one', () => {
    const fleet = runningFleet();
    fleet.waitForResult(fleet.submit('i-1', makeDrainChange(1, 'a')));
    fleet.waitForAdoption(1);
    fleet.store.setOutage(true);
    fleet.kill('i-5');
    const restarted = fleet.start(fleet.instanceAt(5));
    const isCurrent = () => restarted.sync.isReady() && restarted.sync.current().version === 1;
    expect(fleet.time.advanceUntil(isCurrent, 5_000)).toBeDefined();
  });

  it('is not ready after all instances were replaced at once, until the store recovers', () => {
    const fleet = runningFleet();
    fleet.waitForResult(fleet.submit('i-1', makeDrainChange(1, 'a')));
    fleet.store.setOutage(true);
    const instances = fleet.runningNodes().map(node => node.instance);
    for (const instance of instances) fleet.kill(instance.id);
    for (const instance of instances) fleet.start(instance);
    fleet.time.advance(60_000);
    expect(fleet.runningNodes().filter(node => node.sync.isReady())).toEqual([]);
    fleet.store.setOutage(false);
    expect(fleet.waitForAdoption(1, 45_000)).toBeDefined();
    expect(fleet.runningNodes().every(node => node.sync.isReady())).toBe(true);
  });

  it('keeps the version during a rolling replacement of all instances', () => {
    const fleet = runningFleet();
    fleet.waitForResult(fleet.submit('i-1', makeDrainChange(1, 'a')));
    fleet.waitForAdoption(1);
    fleet.store.setOutage(true);
    for (const {instance} of fleet.runningNodes()) {
      fleet.kill(instance.id);
      fleet.start(instance);
      fleet.time.advance(5_000);
    }
    expect(fleet.runningNodes().every(node => node.sync.current().version === 1)).toBe(true);
  });

  it('causes no burst of calls when the store recovers', () => {
    const fleet = runningFleet({instances: 45, regions: 3});
    fleet.store.setOutage(true);
    fleet.time.advance(240_000);
    const callsInOutage = countCallsDuring(fleet, 60_000);
    fleet.store.setOutage(false);
    // Six watchers; each reads the checkpoint and the log once and then watches.
    expect(callsInOutage).toBeLessThanOrEqual(6 * 5);
    expect(countCallsDuring(fleet, 1_000)).toBeLessThanOrEqual(6 * 3);
  });

  it('brings a region up to date that was cut off from the other region for an hour', () => {
    const fleet = runningFleet({instances: 6, regions: 2, settings: {maxHistoryChanges: 5}});
    fleet.isLinkCut = (from, to) => from.regionId !== to.regionId;
    fleet.time.advance(60_000);
    for (let version = 1; version <= 12; version += 1) {
      fleet.waitForResult(fleet.submit('i-0', makeDrainChange(version, `p-${version}`)));
      fleet.time.advance(300_000);
    }
    fleet.isLinkCut = () => false;
    expect(fleet.waitForAdoption(12, 15_000)).toBeDefined();
    expect(fleet.reverted).toEqual([]);
  });
});

function countCallsDuring(fleet: SimConfigFleet, durationMs: number): number {
  const countCalls = () =>
    Object.values(fleet.store.callCounts()).reduce((sum, count) => sum + count, 0);
  const callsBefore = countCalls();
  fleet.time.advance(durationMs);
  return countCalls() - callsBefore;
}

describe('monotonic adoption', () => {
  // Whatever fails, no process may adopt a lower version, and all must end with the configuration in the log.
  it('holds under random crashes, network cuts, message loss and lost answers', () => {
    const stepArbitrary = fc.record({
      action: fc.constantFrom('submit', 'kill', 'cut', 'heal', 'outage', 'loss', 'lost-answer'),
      instance: fc.integer({min: 0, max: 8}),
      waitMs: fc.integer({min: 10, max: 8_000}),
    });
    const runSteps = (steps: ReadonlyArray<{action: string; instance: number; waitMs: number}>) => {
      const fleet = runningFleet({instances: 9, regions: 3, settings: {maxHistoryChanges: 3}});
      let submittedCount = 0;
      for (const {action, instance, waitMs} of steps) {
        const id = `i-${instance}`;
        if (action === 'submit') {
          const version = fleet.node(id).sync.current().version + 1;
          submittedCount += 1;
          fleet.submit(id, makeDrainChange(version, `p-${submittedCount}`));
        }
        if (action === 'kill') {
          fleet.kill(id);
          fleet.start(fleet.instanceAt(instance));
        }
        if (action === 'cut') fleet.isLinkCut = (from, to) => from.regionId !== to.regionId;
        if (action === 'outage') fleet.store.setOutage(true);
        if (action === 'loss') fleet.lossRate = 0.3;
        if (action === 'lost-answer') failNextWrite(fleet, 'answer-lost-after-write');
        if (action === 'heal') {
          fleet.isLinkCut = () => false;
          fleet.lossRate = 0;
          fleet.store.setOutage(false);
        }
        fleet.time.advance(waitMs);
      }
      fleet.isLinkCut = () => false;
      fleet.lossRate = 0;
      fleet.store.setOutage(false);
      fleet.time.advance(60_000);
      const storedVersion = fleet.store.keys().length;
      expect(fleet.runningNodes().map(node => node.sync.current().version)).toEqual(
        fleet.runningNodes().map(() => storedVersion),
      );
      const states = fleet.runningNodes().map(node => JSON.stringify(node.sync.current()));
      expect(new Set(states).size).toBe(1);
      expect(fleet.reverted).toEqual([]);
    };
    fc.assert(fc.property(fc.array(stepArbitrary, {maxLength: 12}), runSteps), {
      seed: 20_261,
      numRuns: 25,
    });
  });
});
