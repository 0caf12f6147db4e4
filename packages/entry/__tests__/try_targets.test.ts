import type {Assignment, AssignmentRequest} from '@cuminsill/steering';
import type {ResultError} from '@cuminsill/types';
import {Effect, Fiber, identity} from 'effect';
import type {RequestContext, ForwarderDependencies} from '../src/forwarder_types';
import {tryTargets} from '../src/try_targets';

type OnResult = (result: Assignment | ResultError) => void;

const assignment = {target: {id: 'target-1'}, slotId: 1, overflow: false} as Assignment;

const context = {
  head: {
    contract: {id: 'reads', trafficClass: 'interactive'},
    deadlineMs: 1000,
    isIdempotent: true,
  },
} as RequestContext;

// Guards against a slot that leaks because it is granted at the moment the caller disconnects.
it.each([
  ['a read', (effect: Effect.Effect<unknown, unknown>) => effect],
  ['an operation', Effect.uninterruptible],
])('releases the slot that %s was granted while its caller disconnected', async (_name, wrap) => {
  const released: Assignment[] = [];
  let grant: OnResult = () => undefined;
  const steering = {
    assign: (_request: AssignmentRequest, onResult: OnResult) => {
      grant = onResult;
      return () => undefined;
    },
    release: (given: Assignment) => void released.push(given),
  };
  const deps = {steering} as unknown as ForwarderDependencies;
  const fiber = Effect.runFork(wrap(tryTargets(deps, context, identity)));
  await new Promise(resolve => setImmediate(resolve));
  Effect.runFork(Fiber.interruptFork(fiber));
  grant(assignment);
  await Effect.runPromise(Fiber.await(fiber));
  expect(released).toEqual([assignment]);
});
