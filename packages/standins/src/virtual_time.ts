/**
 * Virtual time for simulations and measurements: fibers run to their next wait in a fixed order, then the clock
 * moves to the next wake-up. Nothing waits for real time, so a run with a seed is repeatable.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {Fiber, Scheduler} from 'effect';
import {Clock, Duration, Effect} from 'effect';

interface Sleeper {
  readonly wakeAtMs: number;
  readonly order: number;
  readonly wake: () => void;
}

/** A clock and a scheduler under the control of their owner. */
export class VirtualTime implements TimeSource {
  private currentMs = 1_700_000_000_000;
  private order = 0;
  private tasks: Array<() => void> = [];
  private readonly sleepers: Sleeper[] = [];
  private readonly clock: Clock.Clock;
  private readonly scheduler: Scheduler.Scheduler = {
    shouldYield: () => false,
    scheduleTask: task => void this.tasks.push(task),
  };

  constructor() {
    this.clock = {
      [Clock.ClockTypeId]: Clock.ClockTypeId,
      unsafeCurrentTimeMillis: () => this.currentMs,
      unsafeCurrentTimeNanos: () => BigInt(Math.round(this.currentMs * 1e6)),
      currentTimeMillis: Effect.sync(() => this.currentMs),
      currentTimeNanos: Effect.sync(() => BigInt(Math.round(this.currentMs * 1e6))),
      sleep: duration => this.sleep(Duration.toMillis(duration)),
    };
  }

  nowMs(): number {
    return this.currentMs;
  }

  monotonicMs(): number {
    return this.currentMs;
  }

  /** Starts an effect under this time. */
  start<A, E>(effect: Effect.Effect<A, E>): Fiber.RuntimeFiber<A, E> {
    return Effect.runFork(Effect.withClock(effect, this.clock), {scheduler: this.scheduler});
  }

  /** Runs everything that is due within the duration, in milliseconds. */
  advance(durationMs: number): void {
    const endMs = this.currentMs + durationMs;
    this.runTasks();
    for (;;) {
      const next = this.sleepers[0];
      if (next === undefined || next.wakeAtMs > endMs) break;
      this.sleepers.shift();
      this.currentMs = Math.max(this.currentMs, next.wakeAtMs);
      next.wake();
      this.runTasks();
    }
    this.currentMs = endMs;
  }

  /** Runs an effect to its end, for at most `limitMs` milliseconds; throws when it has not ended. */
  run<A, E>(effect: Effect.Effect<A, E>, limitMs = 600_000): A {
    const fiber = this.start(effect);
    const endMs = this.currentMs + limitMs;
    this.runTasks();
    while (fiber.unsafePoll() === null && this.currentMs < endMs) {
      this.advance(Math.max(0, (this.sleepers[0]?.wakeAtMs ?? endMs) - this.currentMs));
    }
    const exit = fiber.unsafePoll();
    if (exit === null) throw new Error(`the effect has not ended within ${limitMs} ms`);
    if (exit._tag === 'Failure') throw new Error(`the effect failed: ${String(exit.cause)}`);
    return exit.value;
  }

  private sleep(durationMs: number): Effect.Effect<void> {
    return Effect.async<void>(resume => {
      const sleeper: Sleeper = {
        wakeAtMs: this.currentMs + durationMs,
        order: (this.order += 1),
        wake: () => resume(Effect.void),
      };
      const index = this.sleepers.findIndex(
        other =>
          other.wakeAtMs > sleeper.wakeAtMs ||
          (other.wakeAtMs === sleeper.wakeAtMs && other.order > sleeper.order),
      );
      this.sleepers.splice(index < 0 ? this.sleepers.length : index, 0, sleeper);
      return Effect.sync(() => {
        const at = this.sleepers.indexOf(sleeper);
        if (at >= 0) this.sleepers.splice(at, 1);
      });
    });
  }

  private runTasks(): void {
    for (;;) {
      const tasks = this.tasks;
      if (tasks.length === 0) return;
      this.tasks = [];
      for (const task of tasks) task();
    }
  }
}
