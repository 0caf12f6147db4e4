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
const results: readonly AttemptResult[] = [
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

/** Drives a group with random load and counts what happens. */
class Run {
  readonly loop = new EventLoop();
  readonly group: EntryGroup;
  readonly inFlight = new Map<string, number>();
  readonly leaving = new Set<string>();
  mostInFlight = 0;
  sentToLeaving = 0;
  borrowedUses = 0;
  asked = 0;
  answered = 0;
  answeredTwice = 0;
  answeredAfterCancel = 0;
  cancelled = 0;
  private readonly random: RandomSource;

  constructor(
    seed: number,
    private readonly onlyAnswers: boolean,
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
    // Most of the load comes to one entry, so that it borrows from the others.
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
    let answers = 0;
    let cancelled = false;
    this.asked += 1;
    const cancel = entry.steering.assign(
      {
        serviceId: 's',
        callerRegionId: entry.regionId,
        trafficClass: trafficClasses[randomBelow(this.random, 3)] ?? 'interactive',
        deadlineMs,
        excludedTargetIds: [],
      },
      result => {
        answers += 1;
        this.answered += 1;
        if (answers > 1) this.answeredTwice += 1;
        if (cancelled) this.answeredAfterCancel += 1;
        this.useSlot(entry, result, deadlineMs);
      },
    );
    if (this.random.next() > 0.1) return;
    this.loop.after(this.random.next() * 200, () => {
      cancelled = true;
      if (answers === 0) this.cancelled += 1;
      cancel();
    });
  }

  private useSlot(entry: GroupEntry, result: Assignment | ResultError, deadlineMs: number): void {
    if (!('slotId' in result)) return;
    const {id} = result.target;
    if (this.leaving.has(id)) this.sentToLeaving += 1;
    const count = (this.inFlight.get(id) ?? 0) + 1;
    this.inFlight.set(id, count);
    this.mostInFlight = Math.max(this.mostInFlight, count);
    const remainingMs = deadlineMs - entry.time.monotonicMs();
    const durationMs = Math.min(remainingMs, 100 + this.random.next() * 400);
    const outcome = this.onlyAnswers
      ? 'answered'
      : (results[randomBelow(this.random, results.length)] ?? 'answered');
    this.loop.after(durationMs, () => {
      this.inFlight.set(id, (this.inFlight.get(id) ?? 0) - 1);
      entry.steering.release(result, outcome, durationMs);
    });
  }
}

describe('slots of several entries', () => {
  test('no target has more requests than slots, across loans with lost and repeated messages', () => {
    let ownSlotsOfBusyEntry = 0;
    let mostAtBusyEntry = 0;
    const property = fc.property(fc.integer({min: 1, max: 1e6}), fc.boolean(), (seed, answers) => {
      const run = new Run(seed, answers);
      const busy = run.group.entries[0];
      ownSlotsOfBusyEntry = busy?.steering.loads()[0]?.heldSlots ?? 0;
      run.run(20_000);
      mostAtBusyEntry = Math.max(mostAtBusyEntry, busy?.steering.loads()[0]?.heldSlots ?? 0);
      expect(run.mostInFlight).toBeLessThanOrEqual(3);
    });
    fc.assert(property, {seed: 41, numRuns: 25});
    // Without loans the property would hold for the wrong reason.
    expect(mostAtBusyEntry).toBeGreaterThan(ownSlotsOfBusyEntry);
  });

  test('every request is answered exactly once or cancelled', () => {
    const property = fc.property(fc.integer({min: 1, max: 1e6}), seed => {
      const run = new Run(seed, false);
      run.run(10_000);
      const waiting = run.group.entries
        .flatMap(({steering}) => steering.loads())
        .reduce((sum, load) => sum + load.queued, 0);
      expect(run.answeredTwice).toBe(0);
      expect(run.answeredAfterCancel).toBe(0);
      expect(run.answered + run.cancelled + waiting).toBe(run.asked);
    });
    fc.assert(property, {seed: 42, numRuns: 15});
  });

  test('a leaving target gets no new work, also on borrowed slots', () => {
    const property = fc.property(
      fc.integer({min: 1, max: 1e6}),
      fc.subarray([...targets], {minLength: 1, maxLength: 5}),
      (seed, leaving) => {
        const run = new Run(seed, true);
        run.run(3000);
        for (const {id} of leaving) {
          run.leaving.add(id);
          for (const {steering} of run.group.entries) steering.markLeaving(id);
        }
        run.loop.runUntil(run.loop.nowMs() + 10_000);
        expect(run.sentToLeaving).toBe(0);
      },
    );
    fc.assert(property, {seed: 43, numRuns: 15});
  });
});
