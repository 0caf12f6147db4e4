import fc from 'fast-check';
import type {PoisonSuspicion} from '@cuminsill/types';
import {ManualTime} from '@cuminsill/utils';
import {maxFingerprints, PoisonGuard, suspicionTtlMs} from '@cuminsill/steering';

const startMs = 1_700_000_000_000;

function guardWith(...lists: ReadonlyArray<readonly PoisonSuspicion[]>): PoisonGuard {
  const guard = new PoisonGuard(new ManualTime(startMs));
  for (const list of lists) guard.mergeSuspicions(list);
  return guard;
}

const suspicionArbitrary: fc.Arbitrary<PoisonSuspicion> = fc.record({
  fingerprint: fc.constantFrom('f1', 'f2', 'f3'),
  targetIds: fc.uniqueArray(fc.integer({min: 1, max: 14}).map(n => `t${n}`)),
  repeatTargetIds: fc.uniqueArray(fc.integer({min: 1, max: 14}).map(n => `t${n}`)),
  untilMs: fc.integer({min: startMs - 1_000, max: startMs + 2 * suspicionTtlMs}),
});
const listArbitrary = fc.array(suspicionArbitrary, {maxLength: 6});

describe('PoisonGuard', () => {
  // Guards against refusing a request too early, too late, for too long or because of another request.
  test.each<readonly [string, ReadonlyArray<readonly [number, string]>, number, boolean]>([
    ['no lost target', [], 0, false],
    ['one lost target', [[0, 't1']], 0, false],
    [
      'one target lost twice',
      [
        [0, 't1'],
        [5_000, 't1'],
      ],
      0,
      false,
    ],
    [
      'two lost targets',
      [
        [0, 't1'],
        [0, 't2'],
      ],
      0,
      true,
    ],
    [
      'just under ten minutes after the losses',
      [
        [0, 't1'],
        [0, 't2'],
      ],
      suspicionTtlMs - 1,
      true,
    ],
    [
      'ten minutes after the losses',
      [
        [0, 't1'],
        [0, 't2'],
      ],
      suspicionTtlMs,
      false,
    ],
    [
      'second loss within ten minutes of the first',
      [
        [0, 't1'],
        [suspicionTtlMs - 1, 't2'],
      ],
      0,
      true,
    ],
    [
      'second loss ten minutes after the first',
      [
        [0, 't1'],
        [suspicionTtlMs, 't2'],
      ],
      0,
      false,
    ],
    [
      'just under ten minutes after the last loss',
      [
        [0, 't1'],
        [9_000, 't2'],
      ],
      suspicionTtlMs - 1,
      true,
    ],
  ])('%s', (_name, losses, waitMs, expected) => {
    const time = new ManualTime(startMs);
    const guard = new PoisonGuard(time);
    for (const [afterMs, targetId] of losses) {
      time.advance(afterMs);
      guard.recordLostTarget('f', targetId, true);
    }
    time.advance(waitMs);
    expect(guard.isQuarantined('f')).toBe(expected);
    expect(guard.isQuarantined('other')).toBe(false);
  });

  // Guards against a request that is sent on because one of its targets failed before it could crash.
  test.each([
    [200, false],
    [404, false],
    [500, true],
    [504, true],
  ])('after an answer with status %i, two lost targets quarantine: %s', (status, expected) => {
    const guard = guardWith();
    guard.recordLostTarget('f', 't1', true);
    guard.recordAnswered('f', status);
    guard.recordLostTarget('f', 't2', true);
    expect(guard.isQuarantined('f')).toBe(expected);
  });

  interface LossCase {
    readonly name: string;
    readonly wasAnswered: boolean;
    /** For each lost target: whether the request was sent after an earlier loss was known. */
    readonly repeats: readonly boolean[];
    readonly expected: boolean;
  }
  const lossCases: readonly LossCase[] = [
    {name: 'two at once', wasAnswered: false, repeats: [false, false], expected: false},
    {
      name: 'many at once',
      wasAnswered: false,
      repeats: Array<boolean>(9).fill(false),
      expected: false,
    },
    {name: 'a repeat', wasAnswered: false, repeats: [false, true], expected: true},
    {name: 'a repeat before', wasAnswered: false, repeats: [true, false], expected: true},
    {
      name: 'many at once and a repeat',
      wasAnswered: false,
      repeats: [...Array<boolean>(9).fill(false), true],
      expected: true,
    },
    {
      name: 'many at once after an answer',
      wasAnswered: true,
      repeats: Array<boolean>(9).fill(false),
      expected: false,
    },
    {
      name: 'one repeat after an answer',
      wasAnswered: true,
      repeats: [false, true],
      expected: false,
    },
    {
      name: 'two repeats after an answer',
      wasAnswered: true,
      repeats: [false, true, true],
      expected: true,
    },
  ];

  // Guards against refusing a frequent request when a failure domain is lost, and against a request that goes on crashing
  // targets because it was answered once.
  test.each(lossCases)('lost targets: $name', ({wasAnswered, repeats, expected}) => {
    const guard = guardWith();
    if (wasAnswered) guard.recordAnswered('f', 200);
    repeats.forEach((isRepeat, number) => {
      const isLast = number === repeats.length - 1;
      if (isLast) expect(guard.wouldQuarantine('f', isRepeat)).toBe(expected);
      guard.recordLostTarget('f', `t${number}`, isRepeat);
    });
    expect(guard.isQuarantined('f')).toBe(expected);
  });

  // Guards against a suspicion that outlives an answer, and against an answer that outweighs later losses elsewhere.
  test.each([
    ['before', -1, false],
    ['after', 1, true],
  ])(
    'a suspicion of another instance whose last loss is %s an answer',
    (_name, afterMs, expected) => {
      const guard = guardWith();
      guard.recordAnswered('f', 200);
      const untilMs = startMs + afterMs + suspicionTtlMs;
      const targetIds = ['t1', 't2', 't3'];
      guard.mergeSuspicions([{fingerprint: 'f', targetIds, repeatTargetIds: ['t3'], untilMs}]);
      expect(guard.isSuspected('f')).toBe(expected);
    },
  );

  interface AnswerOrderCase {
    readonly name: string;
    /** Losses, as [ms after the start, target]; the request is sent again each time. */
    readonly losses: ReadonlyArray<readonly [number, string]>;
    /** When another instance saw an answer. */
    readonly answeredAfterMs: number;
    readonly expected: readonly string[];
  }
  const answerOrderCases: readonly AnswerOrderCase[] = [
    {
      name: 'an answer between two losses removes the first',
      losses: [
        [0, 't1'],
        [1_000, 't2'],
      ],
      answeredAfterMs: 500,
      expected: ['t2'],
    },
    {
      name: 'an answer before all losses removes none',
      losses: [
        [0, 't1'],
        [1_000, 't2'],
      ],
      answeredAfterMs: -1,
      expected: ['t1', 't2'],
    },
    {
      name: 'an answer after all losses removes them',
      losses: [
        [0, 't1'],
        [1_000, 't2'],
      ],
      answeredAfterMs: 1_000,
      expected: [],
    },
    {
      name: 'a target that is lost again counts from the last time',
      losses: [
        [0, 't1'],
        [1_000, 't1'],
      ],
      answeredAfterMs: 500,
      expected: ['t1'],
    },
  ];

  // Guards against a frequent request that is refused for losses which were answered in between, because the instance
  // hears of the answer after the last loss.
  test.each(answerOrderCases)('$name', ({losses, answeredAfterMs, expected}) => {
    const answer = {fingerprint: 'f', answeredAtMs: startMs + answeredAfterMs};
    const oneLoss = ([lostAfterMs, targetId]: readonly [number, string]): PoisonSuspicion => ({
      fingerprint: 'f',
      targetIds: [targetId],
      repeatTargetIds: [targetId],
      untilMs: startMs + lostAfterMs + suspicionTtlMs,
    });
    const lists = losses.map(loss => [oneLoss(loss)]);
    const time = new ManualTime(startMs + 2_000);
    const answeredLast = new PoisonGuard(time);
    for (const list of lists) answeredLast.mergeSuspicions(list);
    answeredLast.mergeAnswer(answer);
    const answeredFirst = new PoisonGuard(time);
    answeredFirst.mergeAnswer(answer);
    for (const list of lists) answeredFirst.mergeSuspicions(list);
    const hearsOfBoth = new PoisonGuard(time);
    hearsOfBoth.mergeAnswer(answer);
    const tellsOfBoth = new PoisonGuard(time);
    for (const list of lists) tellsOfBoth.mergeSuspicions(list);
    hearsOfBoth.mergeSuspicions(tellsOfBoth.suspicions());
    for (const guard of [answeredLast, answeredFirst, hearsOfBoth]) {
      expect(guard.lostTargetIds('f')).toEqual(expected);
    }
  });

  // Otherwise, two instances that each know of one lost target would both send the request again.
  test('adds up lost targets that different instances saw', () => {
    const first = guardWith().recordLostTarget('f', 't1', true);
    const guard = guardWith(first === undefined ? [] : [first]);
    const suspicion = guard.recordLostTarget('f', 't2', true);
    expect(suspicion?.targetIds).toEqual(['t1', 't2']);
    expect(guard.isQuarantined('f')).toBe(true);
  });

  // Otherwise, instances would disagree when messages arrive in another order, twice or in other batches.
  test('merging is commutative, associative and idempotent', () => {
    fc.assert(
      fc.property(listArbitrary, listArbitrary, listArbitrary, (a, b, c) => {
        const merged = guardWith(a, b, c).suspicions();
        expect(guardWith(c, b, a).suspicions()).toEqual(merged);
        expect(
          guardWith(guardWith(a).suspicions(), guardWith(b, c).suspicions()).suspicions(),
        ).toEqual(merged);
        expect(guardWith(a, b, a, c, c, merged).suspicions()).toEqual(merged);
      }),
      {seed: 20261203, numRuns: 500},
    );
  });

  // Otherwise, a peer with a wrong clock could quarantine a request for days.
  test('a suspicion expires after at most ten minutes', () => {
    const guard = guardWith([
      {
        fingerprint: 'f',
        targetIds: ['t1', 't2'],
        repeatTargetIds: [],
        untilMs: startMs + 86_400_000,
      },
    ]);
    expect(guard.suspicions().map(entry => entry.untilMs)).toEqual([startMs + suspicionTtlMs]);
  });

  // Guards against memory that grows with the number of fingerprints, and against evicting the newest suspicions.
  test.each(['recorded', 'merged'])('keeps the newest 1,000 fingerprints, %s', source => {
    const time = new ManualTime(startMs);
    const guard = new PoisonGuard(time);
    for (let n = 0; n < maxFingerprints + 50; n += 1) {
      time.advance(1);
      const untilMs = time.nowMs() + suspicionTtlMs;
      if (source === 'recorded') guard.recordLostTarget(`f${n}`, 't1', true);
      else {
        guard.mergeSuspicions([
          {fingerprint: `f${n}`, targetIds: ['t1'], repeatTargetIds: [], untilMs},
        ]);
      }
    }
    const kept = new Set(guard.suspicions().map(entry => entry.fingerprint));
    expect(kept.size).toBe(maxFingerprints);
    expect([kept.has('f49'), kept.has('f50'), kept.has('f1049')]).toEqual([false, true, true]);
  });
});
