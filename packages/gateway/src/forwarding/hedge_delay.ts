/** Waits for an attempt, until it is time to start a hedge. */
import type {Fiber} from 'effect';
import {Effect} from 'effect';
import type {TargetPaths} from '../targets/target_paths';

/**
 * Returns whether the fiber ends before the timeout and before the gateway loses connectivity to the targets. Uses one timer and no
 * further fibers, because every idempotent request waits here.
 */
export function endsWithin(
  running: Fiber.RuntimeFiber<unknown, unknown>,
  timeoutMs: number,
  paths: TargetPaths,
): Effect.Effect<boolean> {
  return Effect.async<boolean>(resume => {
    const ended = () => finish(true);
    const overdue = () => finish(false);
    const timer = setTimeout(overdue, timeoutMs);
    const unsubscribe = paths.onChange(state => {
      if (state === 'isolated') overdue();
    });
    const stop = () => {
      clearTimeout(timer);
      unsubscribe();
      running.removeObserver(ended);
    };
    const finish = (hasEnded: boolean) => {
      stop();
      resume(Effect.succeed(hasEnded));
    };
    running.addObserver(ended);
    return Effect.sync(stop);
  });
}
