/**
 * The entry daemon: puts its parts together, runs them, and stops gracefully. A stop takes the instance out of look-up answers,
 * serves on while callers still hold old answers, and ends when the last request has been answered.
 */
import type {Scope} from 'effect';
import {Duration, Effect, FiberSet} from 'effect';
import {reportEntryGauges} from './entry_metrics';
import type {EntryDaemonOptions, EntryParts} from './entry_components';
import {makeEntryParts} from './entry_components';

/** A running entry daemon. */
export interface EntryDaemon {
  /** Stops gracefully; ends when no request is in flight. */
  readonly stop: Effect.Effect<void>;
}

const tickIntervalMs = 50;
/** Longest wait at a stop for reports of outcomes that are still on their way. */
const reportDrainMs = 5000;

/** Starts the daemon. Fails when a port is taken or a TLS file cannot be read. */
export function startEntry(
  options: EntryDaemonOptions,
): Effect.Effect<EntryDaemon, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const parts = yield* makeEntryParts(options);
    yield* Effect.tryPromise({
      try: () => parts.callerServer.listen(),
      catch: error => error as Error,
    });
    yield* Effect.forkScoped(parts.controlLink.receive());
    yield* Effect.forkScoped(parts.controlLink.report());
    yield* Effect.forkScoped(parts.prober.run());
    yield* Effect.forkScoped(tick(parts));
    yield* Effect.forkScoped(reportEntryGauges(parts));
    return {stop: stop(options, parts)};
  });
}

function tick(parts: EntryParts): Effect.Effect<never> {
  return Effect.sync(() => {
    parts.steering.updateContactAge(parts.controlLink.currentContactAgeMs());
    parts.steering.tick();
  }).pipe(Effect.zipRight(Effect.sleep(Duration.millis(tickIntervalMs))), Effect.forever);
}

function stop(options: EntryDaemonOptions, parts: EntryParts): Effect.Effect<void> {
  const {settings, logger} = options;
  const logState = (state: string, message: string) =>
    Effect.sync(() => logger.stateChange('info', {component: 'entry', state}, message));
  return Effect.gen(function* () {
    parts.lifecycle.state = 'leaving';
    parts.callerServer.discourageReuse();
    yield* logState('leaving', 'stopping; look-up answers no longer name this instance');
    yield* parts.controlLink.sendReport();
    yield* Effect.sleep(Duration.seconds(settings.lookupTtlS + settings.stopMarginS));
    yield* logState('closing', 'no longer listening; waiting for requests in flight');
    yield* Effect.promise(() => parts.callerServer.close());
    yield* FiberSet.awaitEmpty(parts.background).pipe(
      Effect.timeoutOption(Duration.millis(reportDrainMs)),
    );
    parts.prober.close();
    yield* logState('stopped', 'stopped');
  });
}
