import type {Assignment, AssignmentRequest} from '@cuminsill/steering';
import type {ResultError} from '@cuminsill/types';
import {Effect, Fiber, identity} from 'effect';
import type {Flight, ForwarderParts} from '../src/forwarder_types';
import {tryTargets} from '../src/try_targets';

type OnResult = (result: Assignment | ResultError) => void;

const assignment = {target: {id: 'target-1'}, slotId: 1, overflow: false} as Assignment;

const flight = {
  call: {contract: {id: 'reads', trafficClass: 'interactive'}, deadlineMs: 1000, idempotent: true},
} as Flight;

// Guards against a slot that is lost for ever because it was granted in the moment in which the caller went away.
it.each([
  ['a read', (effect: Effect.Effect<unknown, unknown>) => effect],
  ['an operation', Effect.uninterruptible],
])('releases the slot that %s was granted as its caller went away', async (_name, wrap) => {
  const released: Assignment[] = [];
  let grant: OnResult = () => undefined;
  const steering = {
    assign: (_request: AssignmentRequest, onResult: OnResult) => {
      grant = onResult;
      return () => undefined;
    },
    release: (given: Assignment) => void released.push(given),
  };
  const parts = {steering} as unknown as ForwarderParts;
  const fiber = Effect.runFork(wrap(tryTargets(parts, flight, identity)));
  await new Promise(resolve => setImmediate(resolve));
  Effect.runFork(Fiber.interruptFork(fiber));
  grant(assignment);
  await Effect.runPromise(Fiber.await(fiber));
  expect(released).toEqual([assignment]);
});
