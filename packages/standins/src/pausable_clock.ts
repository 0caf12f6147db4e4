/** A clock that stands still for one instance while time passes for the others. */
import type {Duration} from 'effect';
import {Clock, Effect} from 'effect';
import type {VirtualTime} from './virtual_time';

/** The clock of one instance, which can be paused like a process that does not run. */
export class PausableClock implements Clock.Clock {
  readonly [Clock.ClockTypeId]: Clock.ClockTypeId = Clock.ClockTypeId;
  readonly currentTimeMillis = Effect.sync(() => this.time.unsafeCurrentTimeMillis());
  readonly currentTimeNanos = Effect.sync(() => this.time.unsafeCurrentTimeNanos());
  private deferredWakeups: Array<() => void> | undefined;

  constructor(private readonly time: VirtualTime) {}

  /** True while the instance does not run. */
  get paused(): boolean {
    return this.deferredWakeups !== undefined;
  }

  unsafeCurrentTimeMillis(): number {
    return this.time.unsafeCurrentTimeMillis();
  }

  unsafeCurrentTimeNanos(): bigint {
    return this.time.unsafeCurrentTimeNanos();
  }

  sleep(duration: Duration.Duration): Effect.Effect<void> {
    const whenRunning = Effect.async<void>(resume => {
      if (this.deferredWakeups === undefined) resume(Effect.void);
      else this.deferredWakeups.push(() => resume(Effect.void));
    });
    return this.time.sleep(duration).pipe(Effect.zipRight(whenRunning));
  }

  /** Stops the instance; what was due meanwhile happens at {@link PausableClock.resume}. */
  pause(): void {
    this.deferredWakeups ??= [];
  }

  /** Lets the instance run again. */
  resume(): void {
    const waiting = this.deferredWakeups ?? [];
    this.deferredWakeups = undefined;
    for (const wake of waiting) wake();
    this.time.runTasks();
  }
}
