/**
 * Second tries under the load of targets that run requests and lose the answers: in time for the target latency, and not
 * where answers are only slow, because a second try would then add to the load that makes them slow.
 */
import {hasProbablyLost, isInTime, lostAnswerDelayMs} from '../src/forwarding/second_try';
import type {Placement} from '../src/targets/placement';
import {Target} from '../src/targets/target';
import {targetRecord} from '../__fixtures__/test_records';

const times = {heldMs: 70, roundTripMs: 2, latencyBudgetMs: 250};

function placement(changes: Partial<Placement> = {}): Placement {
  const target = new Target(targetRecord({id: 't-1'}), 'a', 0);
  return {target, expectedMs: 72, waitMs: 0, isHeld: true, ...changes};
}

describe('when a second try in time starts', () => {
  const cases = [
    {name: 'after twice the time for a held object', changes: {}, budgetMs: 250, expectedMs: 167},
    {name: 'later by the wait for a slot', changes: {waitMs: 10}, budgetMs: 250, expectedMs: 177},
    {name: 'not when it would be late', changes: {}, budgetMs: 230, expectedMs: undefined},
    {
      name: 'not where the object may be missing',
      changes: {isHeld: false},
      budgetMs: 250,
      expectedMs: undefined,
    },
  ];
  test.each(cases)('$name', ({changes, budgetMs, expectedMs}) => {
    const delayMs = lostAnswerDelayMs(placement(changes), {...times, latencyBudgetMs: budgetMs});
    expect(delayMs).toBe(expectedMs);
  });
});

describe('where a second try in time goes', () => {
  const cases = [
    {name: 'to a target that holds the object', changes: {}, expected: true},
    {name: 'not to one that may miss it', changes: {isHeld: false}, expected: false},
    {name: 'not to one where it would wait', changes: {waitMs: 5}, expected: false},
    {name: 'not to one that answers too late', changes: {expectedMs: 260}, expected: false},
  ];
  test.each(cases)('$name', ({changes, expected}) => {
    expect(isInTime(placement(changes), times)).toBe(expected);
  });
});

describe('what shows that an answer is lost', () => {
  const sentAtMs = 1_000;
  const nowMs = 1_170;
  const cases: ReadonlyArray<{
    readonly name: string;
    readonly prepare: (target: Target) => void;
    readonly expected: boolean;
  }> = [
    {name: 'nothing yet', prepare: () => undefined, expected: false},
    {
      name: 'an answer to a later request',
      prepare: ({health}) => health.recordAnsweredSend(1_050),
      expected: true,
    },
    {
      name: 'not an answer to an earlier request',
      prepare: ({health}) => health.recordAnsweredSend(950),
      expected: false,
    },
    {name: 'a recent loss', prepare: ({health}) => health.onFailure(900), expected: true},
    {
      name: 'not at a slow target',
      prepare: ({health}) => {
        health.recordAnsweredSend(1_050);
        health.onAnswer(1_100, 8);
      },
      expected: false,
    },
    {
      name: 'not at a target that may be down',
      prepare: ({health}) => {
        health.recordAnsweredSend(1_050);
        health.markSuspect(1_100);
      },
      expected: false,
    },
  ];
  test.each(cases)('$name', ({prepare, expected}) => {
    const {target} = placement();
    prepare(target);
    expect(hasProbablyLost(target, sentAtMs, nowMs)).toBe(expected);
  });
});
