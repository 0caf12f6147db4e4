/**
 * Keeps the gateway's own record in the store. The record may disappear after it was written: a deletion by the gateway's
 * former process may be carried out late, and the store may lose writes. Without it, other gateways do not name this one
 * to callers, and count one gateway too few when they divide the retry budget.
 */
import {Effect, Fiber, Schedule} from 'effect';
import type {DecisionLog} from '../logs/decision_log';
import type {GatewayRegistry} from '../gateway_ports';
import type {GatewayRecord} from '../gateway_types';

const retryIntervalMs = 500;
/** A list may lag behind the registration by this time. */
const missingGraceMs = 500;
/** Spreads the writes of the gateways when many records disappear at once. */
const maxJitterMs = 500;

/** Registers the gateway, and registers it again when its record is missing. */
export class SelfRegistration {
  private isListed = false;
  private hasStarted = false;
  private isStopped = false;
  private running: Fiber.RuntimeFiber<void> | undefined;

  constructor(
    private readonly registry: GatewayRegistry,
    private readonly record: GatewayRecord,
    private readonly log: DecisionLog,
  ) {}

  /**
   * Reports whether the gateway's own record is among those in the store. The first report starts the registration, so that
   * the first list shows whether a former process has left its record.
   */
  onList(isListed: boolean): void {
    this.isListed = isListed;
    if (!this.hasStarted) {
      this.hasStarted = true;
      this.run(this.register());
      return;
    }
    if (!isListed) this.run(this.registerIfMissing());
  }

  /** Registers no more, and removes the record. */
  remove(): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.isStopped = true;
      const stopped = this.running === undefined ? Effect.void : Fiber.interrupt(this.running);
      return Effect.zipRight(stopped, Effect.ignore(this.registry.remove(this.record.name)));
    });
  }

  private run(task: Effect.Effect<void>): void {
    if (this.isStopped || this.running !== undefined) return;
    const ended = Effect.sync(() => {
      this.running = undefined;
    });
    this.running = Effect.runFork(Effect.ensuring(task, ended));
  }

  /** Registers the gateway and retries until the store has accepted the record. */
  private register(): Effect.Effect<void> {
    const retried = Effect.retry(
      this.registry.register(this.record),
      Schedule.spaced(retryIntervalMs),
    );
    return Effect.ignore(retried);
  }

  private registerIfMissing(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      yield* Effect.sleep(missingGraceMs + Math.random() * maxJitterMs);
      if (this.isListed) return;
      this.log.event('peer', {event: 'own record missing', from: this.record.name});
      yield* this.register();
    });
  }
}
