/** Pauses one simulated instance while time goes on for the others. */
import type {Duration} from 'effect';
import {Clock, Effect} from 'effect';
import type {VirtualTime} from './virtual_time';

/**
 * Clock of one instance. While it is paused, sleeping fibers do not wake up, as in a suspended process; the time that it
 * shows goes on.
 */
export class PausableClock implements Clock.Clock {
  readonly [Clock.ClockTypeId]: Clock.ClockTypeId = Clock.ClockTypeId;
  readonly currentTimeMillis = Effect.sync(() => this.time.unsafeCurrentTimeMillis());
  readonly currentTimeNanos = Effect.sync(() => this.time.unsafeCurrentTimeNanos());
  private deferredWakeups: Array<() => void> | undefined;

  constructor(private readonly time: VirtualTime) {}

  /** True while the instance is paused. */
  get isPaused(): boolean {
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

  /** Pauses the instance. Wake-ups that fall due meanwhile run at {@link PausableClock.resume}. */
  pause(): void {
    this.deferredWakeups ??= [];
  }

  /** Resumes the instance and runs the wake-ups that fell due during the pause. */
  resume(): void {
    const waiting = this.deferredWakeups ?? [];
    this.deferredWakeups = undefined;
    for (const wake of waiting) wake();
    this.time.runTasks();
  }
}
