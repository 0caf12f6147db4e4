/**
 * Clock and scheduler for discrete-event simulations of many instances in one process. Time advances only on request,
 * and everything runs synchronously in a deterministic order, so that a seed reproduces a run. Effect's TestClock is too
 * slow for this: it waits for real milliseconds and sorts all sleeping fibers at each step, which takes minutes with a
 * thousand instances.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {Fiber, Scheduler} from 'effect';
import {Clock, Duration, Effect} from 'effect';
import {MinHeap} from './min_heap';

const defaultRunLimitMs = 600_000;

interface Wakeup {
  cancelled: boolean;
  readonly run: () => void;
}

/** Simulated time. */
export class VirtualTime implements Clock.Clock, TimeSource {
  readonly [Clock.ClockTypeId]: Clock.ClockTypeId = Clock.ClockTypeId;
  readonly currentTimeMillis = Effect.sync(() => this.currentMs);
  readonly currentTimeNanos = Effect.sync(() => this.unsafeCurrentTimeNanos());
  private readonly wakeupsByTimeMs = new Map<number, Wakeup[]>();
  private readonly wakeupTimesMs = new MinHeap();
  private tasks: Array<() => void> = [];
  private readonly scheduler: Scheduler.Scheduler = {
    shouldYield: fiber => (fiber.currentOpCount > 2_048 ? 0 : false),
    scheduleTask: task => void this.tasks.push(task),
  };

  /** @param currentMs Initial time in milliseconds since the Unix epoch. */
  constructor(private currentMs = 1_700_000_000_000) {}

  unsafeCurrentTimeMillis(): number {
    return this.currentMs;
  }

  unsafeCurrentTimeNanos(): bigint {
    return BigInt(this.currentMs) * 1_000_000n;
  }

  /** Milliseconds since the Unix epoch; part of `TimeSource`. */
  nowMs(): number {
    return this.currentMs;
  }

  /** Monotonic milliseconds; part of `TimeSource`. */
  monotonicMs(): number {
    return this.currentMs;
  }

  sleep(duration: Duration.Duration): Effect.Effect<void> {
    return Effect.async<void>(resume => {
      const wakeup: Wakeup = {cancelled: false, run: () => resume(Effect.void)};
      this.schedule(Duration.toMillis(duration), wakeup);
      return Effect.sync(() => void (wakeup.cancelled = true));
    });
  }

  /** Calls a function after a delay. */
  after(durationMs: number, run: () => void): void {
    this.schedule(durationMs, {cancelled: false, run});
  }

  /** Forks an effect on this clock, or on the clock of one instance. */
  fork<A, E>(effect: Effect.Effect<A, E>, clock: Clock.Clock = this): Fiber.RuntimeFiber<A, E> {
    const fiber = Effect.runFork(effect.pipe(Effect.withClock(clock)), {
      scheduler: this.scheduler,
    });
    this.runTasks();
    return fiber;
  }

  /** Advances time until an effect ends, and returns its result. Throws when it fails or exceeds `limitMs`. */
  run<A, E>(effect: Effect.Effect<A, E>, limitMs = defaultRunLimitMs): A {
    const fiber = this.fork(effect);
    const endMs = this.currentMs + limitMs;
    while (fiber.unsafePoll() === null && this.currentMs < endMs) {
      this.advance(Math.max(0, (this.wakeupTimesMs.peek() ?? endMs) - this.currentMs));
    }
    const exit = fiber.unsafePoll();
    if (exit === null) throw new Error(`the effect has not ended within ${limitMs} ms`);
    if (exit._tag === 'Failure') throw new Error(`the effect failed: ${String(exit.cause)}`);
    return exit.value;
  }

  /** Advances time and runs everything that falls due. */
  advance(durationMs: number): void {
    const endMs = this.currentMs + durationMs;
    this.runTasks();
    for (;;) {
      const nextMs = this.wakeupTimesMs.peek();
      if (nextMs === undefined || nextMs > endMs) break;
      this.wakeupTimesMs.pop();
      this.currentMs = nextMs;
      const due = this.wakeupsByTimeMs.get(nextMs) ?? [];
      this.wakeupsByTimeMs.delete(nextMs);
      for (const wakeup of due) {
        if (!wakeup.cancelled) wakeup.run();
      }
      this.runTasks();
    }
    this.currentMs = endMs;
  }

  /**
   * Advances time in steps until the condition holds. Returns the elapsed milliseconds, or undefined when it does not hold
   * within `limitMs`.
   */
  advanceUntil(condition: () => boolean, limitMs: number, stepMs = 50): number | undefined {
    for (let passedMs = 0; passedMs <= limitMs; passedMs += stepMs) {
      if (condition()) return passedMs;
      this.advance(stepMs);
    }
    return undefined;
  }

  /** Runs the tasks that fibers have scheduled for the current time. */
  runTasks(): void {
    while (this.tasks.length > 0) {
      const tasks = this.tasks;
      this.tasks = [];
      for (const task of tasks) task();
    }
  }

  private schedule(durationMs: number, wakeup: Wakeup): void {
    const atMs = this.currentMs + Math.max(0, Math.ceil(durationMs));
    const wakeupsAtTime = this.wakeupsByTimeMs.get(atMs);
    if (wakeupsAtTime !== undefined) {
      wakeupsAtTime.push(wakeup);
      return;
    }
    this.wakeupsByTimeMs.set(atMs, [wakeup]);
    this.wakeupTimesMs.push(atMs);
  }
}
