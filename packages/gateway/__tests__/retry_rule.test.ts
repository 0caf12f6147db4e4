/** When a request may be sent to another target: never while one may have run it and it must not run twice. */
import type {AttemptEnd} from '../src/forwarding/retry_rule';
import {mayRetry} from '../src/forwarding/retry_rule';

interface Case {
  readonly ends: readonly AttemptEnd[];
  readonly inFlightCount: number;
  readonly idempotent: boolean;
  readonly atMostOnce: boolean;
}

const cases: readonly Case[] = [
  {ends: [], inFlightCount: 0, idempotent: true, atMostOnce: true},
  {ends: [], inFlightCount: 1, idempotent: true, atMostOnce: false},
  {ends: ['unsent'], inFlightCount: 0, idempotent: true, atMostOnce: true},
  {ends: ['declined'], inFlightCount: 0, idempotent: true, atMostOnce: true},
  {ends: ['declined'], inFlightCount: 1, idempotent: false, atMostOnce: false},
  {ends: ['lost'], inFlightCount: 0, idempotent: true, atMostOnce: false},
  {ends: ['timed-out'], inFlightCount: 0, idempotent: true, atMostOnce: false},
  {ends: ['cancelled'], inFlightCount: 0, idempotent: true, atMostOnce: false},
  {ends: ['answered'], inFlightCount: 0, idempotent: true, atMostOnce: false},
  {ends: ['lost', 'declined'], inFlightCount: 0, idempotent: false, atMostOnce: false},
  {ends: ['unsent', 'unsent', 'unsent'], inFlightCount: 0, idempotent: true, atMostOnce: true},
  {
    ends: ['unsent', 'unsent', 'unsent', 'unsent'],
    inFlightCount: 0,
    idempotent: false,
    atMostOnce: false,
  },
  {ends: ['declined', 'declined'], inFlightCount: 0, idempotent: false, atMostOnce: false},
];

/** Guards against an order that runs twice, and against more attempts than the route allows. */
test.each(cases)('$ends, in flight $inFlightCount', ({ends, inFlightCount, ...expected}) => {
  const state = {ends, inFlightCount};
  expect({
    idempotent: mayRetry({repeat: 'idempotent', maxTargets: 2}, state),
    atMostOnce: mayRetry({repeat: 'at-most-once', maxTargets: 2}, state),
  }).toEqual(expected);
});
