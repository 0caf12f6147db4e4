/**
 * The entry daemon: creates its components, runs them, and stops gracefully. When it stops, the instance is removed from
 * look-up answers, keeps serving while callers may still hold old answers, and exits after the last request is answered.
 */
import type {Scope} from 'effect';
import {Duration, Effect, FiberSet} from 'effect';
import {reportEntryGauges} from './entry_metrics';
import type {EntryDaemonOptions, EntryComponents} from './entry_components';
import {makeEntryComponents} from './entry_components';

/** A running entry daemon. */
export interface EntryDaemon {
  /** Stops gracefully; completes when no request is in flight. */
  readonly stop: Effect.Effect<void>;
}

const tickIntervalMs = 50;
/** Longest wait during a stop for outcome reports that no claim owner has confirmed yet. */
const outcomeReportTimeoutMs = 5000;

/** Starts the daemon. Fails when a port is in use or a TLS file cannot be read. */
export function startEntry(
  options: EntryDaemonOptions,
): Effect.Effect<EntryDaemon, Error, Scope.Scope> {
  return Effect.gen(function* () {
    const components = yield* makeEntryComponents(options);
    yield* Effect.tryPromise({
      try: () => components.callerServer.listen(),
      catch: error => error as Error,
    });
    yield* Effect.forkScoped(components.controlLink.receiveSnapshots());
    yield* Effect.forkScoped(components.controlLink.sendReports());
    yield* Effect.forkScoped(components.prober.run());
    yield* Effect.forkScoped(runSteeringTicks(components));
    yield* Effect.forkScoped(reportEntryGauges(components));
    return {stop: stopGracefully(options, components)};
  });
}

function runSteeringTicks(components: EntryComponents): Effect.Effect<never> {
  return Effect.sync(() => {
    components.steering.updateContactAge(components.controlLink.currentContactAgeMs());
    components.steering.tick();
  }).pipe(Effect.zipRight(Effect.sleep(Duration.millis(tickIntervalMs))), Effect.forever);
}

function stopGracefully(
  options: EntryDaemonOptions,
  components: EntryComponents,
): Effect.Effect<void> {
  const {settings, logger} = options;
  const logState = (state: string, message: string) =>
    Effect.sync(() => logger.stateChange('info', {component: 'entry', state}, message));
  return Effect.gen(function* () {
    components.lifecycle.state = 'leaving';
    components.callerServer.disableKeepAlive();
    yield* logState('leaving', 'stopping; look-up answers no longer name this instance');
    yield* components.controlLink.sendReport();
    yield* Effect.sleep(Duration.seconds(settings.lookupTtlS + settings.stopMarginS));
    yield* logState('closing', 'no longer listening; waiting for requests in flight');
    yield* Effect.promise(() => components.callerServer.close());
    yield* FiberSet.awaitEmpty(components.backgroundFibers).pipe(
      Effect.timeoutOption(Duration.millis(outcomeReportTimeoutMs)),
    );
    components.prober.close();
    yield* logState('stopped', 'stopped');
  });
}
