/**
 * A clock and a scheduler for simulations of many instances in one process: virtual time passes only when it is
 * told to, and everything runs synchronously in a fixed order. Effect's TestClock waits for real milliseconds and
 * sorts all sleeping fibers at each step, which takes minutes with a thousand instances. For tests and
 * measurements; not part of the package's interface.
 */
import {Clock, Duration, Effect} from 'effect';
import type {Fiber, Scheduler} from 'effect';

interface Wakeup {
  cancelled: boolean;
  readonly run: () => void;
}

/** Virtual time. */
export class VirtualTime implements Clock.Clock {
  readonly [Clock.ClockTypeId]: Clock.ClockTypeId = Clock.ClockTypeId;
  readonly currentTimeMillis = Effect.sync(() => this.currentMs);
  readonly currentTimeNanos = Effect.sync(() => this.unsafeCurrentTimeNanos());
  private readonly wakeups = new Map<number, Wakeup[]>();
  private readonly times = new MinHeap();
  private tasks: Array<() => void> = [];
  private readonly scheduler: Scheduler.Scheduler = {
    shouldYield: fiber => (fiber.currentOpCount > 2_048 ? 0 : false),
    scheduleTask: task => void this.tasks.push(task),
  };

  /** @param currentMs Start in milliseconds since the Unix epoch. */
  constructor(private currentMs = 1_700_000_000_000) {}

  unsafeCurrentTimeMillis(): number {
    return this.currentMs;
  }

  unsafeCurrentTimeNanos(): bigint {
    return BigInt(this.currentMs) * 1_000_000n;
  }

  /** Milliseconds since the Unix epoch, as a `TimeSource`. */
  nowMs(): number {
    return this.currentMs;
  }

  /** Monotonic milliseconds, as a `TimeSource`. */
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

  /** Calls a function after some milliseconds. */
  after(durationMs: number, run: () => void): void {
    this.schedule(durationMs, {cancelled: false, run});
  }

  /** Starts an effect on this clock, or on the given clock of one instance. */
  fork<A, E>(effect: Effect.Effect<A, E>, clock: Clock.Clock = this): Fiber.RuntimeFiber<A, E> {
    const fiber = Effect.runFork(effect.pipe(Effect.withClock(clock)), {
      scheduler: this.scheduler,
    });
    this.runTasks();
    return fiber;
  }

  /** Lets time pass. */
  advance(durationMs: number): void {
    const endMs = this.currentMs + durationMs;
    this.runTasks();
    for (;;) {
      const nextMs = this.times.peek();
      if (nextMs === undefined || nextMs > endMs) break;
      this.times.pop();
      this.currentMs = nextMs;
      const due = this.wakeups.get(nextMs) ?? [];
      this.wakeups.delete(nextMs);
      for (const wakeup of due) {
        if (!wakeup.cancelled) wakeup.run();
      }
      this.runTasks();
    }
    this.currentMs = endMs;
  }

  /** Lets time pass until the condition holds; returns the milliseconds that it took, or undefined. */
  advanceUntil(condition: () => boolean, limitMs: number, stepMs = 50): number | undefined {
    for (let passedMs = 0; passedMs <= limitMs; passedMs += stepMs) {
      if (condition()) return passedMs;
      this.advance(stepMs);
    }
    return undefined;
  }

  /** Runs what fibers have scheduled for now. */
  runTasks(): void {
    while (this.tasks.length > 0) {
      const tasks = this.tasks;
      this.tasks = [];
      for (const task of tasks) task();
    }
  }

  private schedule(durationMs: number, wakeup: Wakeup): void {
    const atMs = this.currentMs + Math.max(0, Math.ceil(durationMs));
    const sameTime = this.wakeups.get(atMs);
    if (sameTime !== undefined) {
      sameTime.push(wakeup);
      return;
    }
    this.wakeups.set(atMs, [wakeup]);
    this.times.push(atMs);
  }
}

/** The clock of one instance, which can be paused like a process that does not run. */
export class PausableClock implements Clock.Clock {
  readonly [Clock.ClockTypeId]: Clock.ClockTypeId = Clock.ClockTypeId;
  readonly currentTimeMillis = Effect.sync(() => this.time.unsafeCurrentTimeMillis());
  readonly currentTimeNanos = Effect.sync(() => this.time.unsafeCurrentTimeNanos());
  private waiting: Array<() => void> | undefined;

  constructor(private readonly time: VirtualTime) {}

  /** True while the instance does not run. */
  get paused(): boolean {
    return this.waiting !== undefined;
  }

  unsafeCurrentTimeMillis(): number {
    return this.time.unsafeCurrentTimeMillis();
  }

  unsafeCurrentTimeNanos(): bigint {
    return this.time.unsafeCurrentTimeNanos();
  }

  sleep(duration: Duration.Duration): Effect.Effect<void> {
    const whenRunning = Effect.async<void>(resume => {
      if (this.waiting === undefined) resume(Effect.void);
      else this.waiting.push(() => resume(Effect.void));
    });
    return this.time.sleep(duration).pipe(Effect.zipRight(whenRunning));
  }

  /** Stops the instance; what was due meanwhile happens at {@link PausableClock.resume}. */
  pause(): void {
    this.waiting ??= [];
  }

  /** Lets the instance run again. */
  resume(): void {
    const waiting = this.waiting ?? [];
    this.waiting = undefined;
    for (const wake of waiting) wake();
    this.time.runTasks();
  }
}

/** Distinct numbers, smallest first. */
class MinHeap {
  private readonly items: number[] = [];

  peek(): number | undefined {
    return this.items[0];
  }

  push(item: number): void {
    this.items.push(item);
    let index = this.items.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.at(parent) <= item) break;
      this.items[index] = this.at(parent);
      index = parent;
    }
    this.items[index] = item;
  }

  pop(): void {
    const last = this.items.pop();
    if (last === undefined || this.items.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= this.items.length) break;
      if (child + 1 < this.items.length && this.at(child + 1) < this.at(child)) child += 1;
      if (this.at(child) >= last) break;
      this.items[index] = this.at(child);
      index = child;
    }
    this.items[index] = last;
  }

  private at(index: number): number {
    return this.items[index] as number;
  }
}
