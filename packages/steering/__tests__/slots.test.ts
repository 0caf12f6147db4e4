import type {ResultError} from '@cuminsill/types';
import {trafficClasses} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {randomBelow, seededRandom} from '@cuminsill/utils';
import fc from 'fast-check';
import type {GroupEntry} from '../__fixtures__/entry_group';
import {EntryGroup, EventLoop} from '../__fixtures__/entry_group';
import {makeConfiguration, makeMembers, makeService, makeTargets} from '../__fixtures__/fleets';
import type {Assignment, AttemptResult} from '../src';

const regionIds = ['a', 'b'];
const service = makeService('s', 'interactive', 200, 1000);
const targets = regionIds.flatMap(regionId => makeTargets('s', regionId, 4, 3));
const members = makeMembers(regionIds, 3);
const configuration = makeConfiguration(regionIds, [service], targets);
const attemptResults: readonly AttemptResult[] = [
  'answered',
  'answered',
  'answered',
  'failed',
  'shed',
  'connect-failed',
  'connection-lost',
  'timed-out',
  'cancelled',
];

/** Sends random load to a group of entries and counts the results. */
class RandomLoadRun {
  readonly loop = new EventLoop();
  readonly group: EntryGroup;
  readonly inFlight = new Map<string, number>();
  readonly leavingTargetIds = new Set<string>();
  maxInFlight = 0;
  requestsToLeavingTargets = 0;
  borrowedUses = 0;
  requestCount = 0;
  resultCount = 0;
  repeatedResults = 0;
  resultsAfterCancel = 0;
  cancelledCount = 0;
  private readonly random: RandomSource;

  constructor(
    seed: number,
    private readonly answersOnly: boolean,
  ) {
    this.random = seededRandom(seed);
    this.group = new EntryGroup(this.loop, members, {
      delayMs: () => 55,
      lossRate: 0.2,
      duplicateRate: 0.2,
      maxClockOffsetMs: 110,
      seed,
    });
    this.group.adopt(configuration, members);
  }

  run(durationMs: number): void {
    const endMs = this.loop.nowMs() + durationMs;
    this.scheduleTicks();
    // Most of the load goes to the first entry, so that it borrows slots from the others.
    this.scheduleLoad(0, 20);
    this.scheduleLoad(1, 100);
    this.scheduleLoad(3, 60);
    this.loop.runUntil(endMs);
  }

  private scheduleTicks(): void {
    this.loop.after(50, () => {
      for (const {steering} of this.group.entries) steering.tick();
      this.scheduleTicks();
    });
  }

  private scheduleLoad(entryIndex: number, meanMs: number): void {
    this.loop.after(this.random.next() * 2 * meanMs, () => {
      const entry = this.group.entries[entryIndex];
      if (entry !== undefined) this.request(entry);
      this.scheduleLoad(entryIndex, meanMs);
    });
  }

  private request(entry: GroupEntry): void {
    const deadlineMs = entry.time.monotonicMs() + 1000;
    let answerCount = 0;
    let cancelled = false;
    this.requestCount += 1;
    const cancel = entry.steering.assign(
      {
        serviceId: 's',
        callerRegionId: entry.regionId,
        trafficClass: trafficClasses[randomBelow(this.random, 3)] ?? 'interactive',
        deadlineMs,
        excludedTargetIds: [],
      },
      result => {
        answerCount += 1;
        this.resultCount += 1;
        if (answerCount > 1) this.repeatedResults += 1;
        if (cancelled) this.resultsAfterCancel += 1;
        this.useSlot(entry, result, deadlineMs);
      },
    );
    if (this.random.next() > 0.1) return;
    this.loop.after(this.random.next() * 200, () => {
      cancelled = true;
      if (answerCount === 0) this.cancelledCount += 1;
      cancel();
    });
  }

  private useSlot(entry: GroupEntry, result: Assignment | ResultError, deadlineMs: number): void {
    if (!('slotId' in result)) return;
    const {id} = result.target;
    if (this.leavingTargetIds.has(id)) this.requestsToLeavingTargets += 1;
    const count = (this.inFlight.get(id) ?? 0) + 1;
    this.inFlight.set(id, count);
    this.maxInFlight = Math.max(this.maxInFlight, count);
    const remainingMs = deadlineMs - entry.time.monotonicMs();
    const durationMs = Math.min(remainingMs, 100 + this.random.next() * 400);
    const attemptResult = this.answersOnly
      ? 'answered'
      : (attemptResults[randomBelow(this.random, attemptResults.length)] ?? 'answered');
    this.loop.after(durationMs, () => {
      this.inFlight.set(id, (this.inFlight.get(id) ?? 0) - 1);
      entry.steering.release(result, attemptResult, durationMs);
    });
  }
}

describe('slots shared by several entries', () => {
  test('no target has more requests than slots, across loans with lost and repeated messages', () => {
    let ownSlotsOfBusiestEntry = 0;
    let maxSlotsOfBusiestEntry = 0;
    const property = fc.property(
      fc.integer({min: 1, max: 1e6}),
      fc.boolean(),
      (seed, answersOnly) => {
        const run = new RandomLoadRun(seed, answersOnly);
        const busiestEntry = run.group.entries[0];
        ownSlotsOfBusiestEntry = busiestEntry?.steering.loads()[0]?.heldSlots ?? 0;
        run.run(20_000);
        maxSlotsOfBusiestEntry = Math.max(
          maxSlotsOfBusiestEntry,
          busiestEntry?.steering.loads()[0]?.heldSlots ?? 0,
        );
        expect(run.maxInFlight).toBeLessThanOrEqual(3);
      },
    );
    fc.assert(property, {seed: 41, numRuns: 25});
    // Proves that slots were borrowed; without loans, the property would hold trivially.
    expect(maxSlotsOfBusiestEntry).toBeGreaterThan(ownSlotsOfBusiestEntry);
  });

  test('every request is answered exactly once or cancelled', () => {
    const property = fc.property(fc.integer({min: 1, max: 1e6}), seed => {
      const run = new RandomLoadRun(seed, false);
      run.run(10_000);
      const waiting = run.group.entries
        .flatMap(({steering}) => steering.loads())
        .reduce((sum, load) => sum + load.queued, 0);
      expect(run.repeatedResults).toBe(0);
      expect(run.resultsAfterCancel).toBe(0);
      expect(run.resultCount + run.cancelledCount + waiting).toBe(run.requestCount);
    });
    fc.assert(property, {seed: 42, numRuns: 15});
  });

  test('a leaving target gets no new requests, not even on borrowed slots', () => {
    const property = fc.property(
      fc.integer({min: 1, max: 1e6}),
      fc.subarray([...targets], {minLength: 1, maxLength: 5}),
      (seed, leaving) => {
        const run = new RandomLoadRun(seed, true);
        run.run(3000);
        for (const {id} of leaving) {
          run.leavingTargetIds.add(id);
          for (const {steering} of run.group.entries) steering.markLeaving(id);
        }
        run.loop.runUntil(run.loop.nowMs() + 10_000);
        expect(run.requestsToLeavingTargets).toBe(0);
      },
    );
    fc.assert(property, {seed: 43, numRuns: 15});
  });
});
