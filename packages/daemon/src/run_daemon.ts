/**
 * The main function of the daemon programs. It parses the arguments, validates the settings, starts the daemon, prints
 * a ready line, and stops the daemon gracefully on SIGTERM or SIGINT.
 *
 * Exit codes: 0 stopped on request, 1 could not start or failed, 2 invalid arguments or settings.
 */
import type {Logger, Metrics} from '@cuminsill/logger';
import {createLogger, createMetrics, silentMetrics} from '@cuminsill/logger';
import type {LogLevel} from '@cuminsill/logger';
import type {SettingsWithTls} from '@cuminsill/validation';
import {checkTlsFiles, InvalidDataError, loadSettings} from '@cuminsill/validation';
import {Command} from 'commander';
import type {Schema, Scope} from 'effect';
import {Effect, Exit} from 'effect';

/** The settings that all daemons have in common. */
export interface DaemonSettings extends SettingsWithTls {
  readonly instance: {readonly id: string};
  readonly log: {readonly level: LogLevel};
  readonly metrics?: {
    readonly host: string;
    readonly port: number;
    readonly flushIntervalMs: number;
  };
}

/** Settings, logger and metrics that a daemon is started with. */
export interface DaemonContext<Settings> {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A started daemon. */
export interface RunningDaemon {
  /** Stops the daemon gracefully. */
  readonly stop: Effect.Effect<void>;
}

/** Describes a daemon program: its command line, its settings and how it is started. */
export interface DaemonProgram<Settings extends DaemonSettings, Encoded> {
  readonly name: string;
  readonly description: string;
  readonly version: string;
  readonly settingsSchema: Schema.Schema<Settings, Encoded>;
  readonly start: (
    context: DaemonContext<Settings>,
  ) => Effect.Effect<RunningDaemon, Error, Scope.Scope>;
}

/** Exit codes of the daemon programs. */
export const daemonExitCodes = {stopped: 0, failed: 1, wrongSettings: 2} as const;

/** Runs a daemon program with the command-line arguments of the process, and exits the process when it has stopped. */
export async function runDaemon<Settings extends DaemonSettings, Encoded>(
  program: DaemonProgram<Settings, Encoded>,
): Promise<void> {
  const command = new Command(program.name)
    .description(program.description)
    .version(program.version)
    .requiredOption('--settings <file>', 'settings file in JSON')
    .option('--check', 'check the settings file and exit')
    .addHelpText(
      'after',
      '\nExit codes: 0 stopped as asked, 1 could not start or failed, 2 wrong arguments or settings.',
    )
    .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : daemonExitCodes.wrongSettings));
  command.parse();
  const options = command.opts<{settings: string; check?: boolean}>();
  const settings = readSettings(options.settings, program.settingsSchema);
  if (options.check === true) process.exit(daemonExitCodes.stopped);
  process.exit(await runUntilStopped(program, settings));
}

function readSettings<Settings extends DaemonSettings, Encoded>(
  file: string,
  schema: Schema.Schema<Settings, Encoded>,
): Settings {
  try {
    const settings = loadSettings(file, schema);
    checkTlsFiles(file, settings);
    return settings;
  } catch (error) {
    if (!(error instanceof InvalidDataError)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exit(daemonExitCodes.wrongSettings);
  }
}

async function runUntilStopped<Settings extends DaemonSettings, Encoded>(
  program: DaemonProgram<Settings, Encoded>,
  settings: Settings,
): Promise<number> {
  const instanceId = settings.instance.id;
  const logger = createLogger({program: program.name, instanceId, level: settings.log.level});
  const metrics =
    settings.metrics === undefined
      ? silentMetrics
      : createMetrics({...settings.metrics, instanceId});
  const lifecycle = Effect.scoped(
    Effect.gen(function* () {
      const daemon = yield* program.start({settings, logger, metrics});
      process.stdout.write(`${JSON.stringify({ready: true, program: program.name, instanceId})}\n`);
      yield* waitForStopSignal;
      yield* daemon.stop;
    }),
  );
  const exit = await Effect.runPromiseExit(lifecycle);
  metrics.close();
  if (Exit.isSuccess(exit)) return daemonExitCodes.stopped;
  process.stderr.write(`${program.name}: ${exit.cause.toString()}\n`);
  return daemonExitCodes.failed;
}

/** The SIGTERM handler stays installed: without it, a second SIGTERM would end the process during the graceful stop. */
const waitForStopSignal = Effect.async<void>(resume => {
  const onSignal = () => resume(Effect.void);
  process.on('SIGTERM', onSignal);
  process.once('SIGINT', onSignal);
});
