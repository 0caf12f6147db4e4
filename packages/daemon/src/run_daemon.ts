/**
 * The frame of a daemon program: arguments, settings, start, the ready line, and a graceful stop on SIGTERM or SIGINT.
 *
 * Exit codes: 0 stopped as asked, 1 could not start or failed, 2 wrong arguments or settings.
 */
import type {Logger, Metrics} from '@cuminsill/logger';
import {createLogger, createMetrics, silentMetrics} from '@cuminsill/logger';
import type {LogLevel} from '@cuminsill/logger';
import type {SettingsWithTls} from '@cuminsill/validation';
import {checkTlsFiles, InvalidDataError, loadSettings} from '@cuminsill/validation';
import {Command} from 'commander';
import type {Schema, Scope} from 'effect';
import {Effect, Exit} from 'effect';

/** Settings that every daemon has. */
export interface DaemonSettings extends SettingsWithTls {
  readonly instance: {readonly id: string};
  readonly log: {readonly level: LogLevel};
  readonly metrics?: {
    readonly host: string;
    readonly port: number;
    readonly flushIntervalMs: number;
  };
}

/** What a daemon's start gets. */
export interface DaemonContext<Settings> {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A daemon that is running. */
export interface RunningDaemon {
  /** Stops gracefully. */
  readonly stop: Effect.Effect<void>;
}

/** One daemon program. */
export interface DaemonProgram<Settings extends DaemonSettings, Encoded> {
  readonly name: string;
  readonly description: string;
  readonly version: string;
  readonly settingsSchema: Schema.Schema<Settings, Encoded>;
  readonly start: (
    context: DaemonContext<Settings>,
  ) => Effect.Effect<RunningDaemon, Error, Scope.Scope>;
}

/** Exit codes of daemons. */
export const daemonExitCodes = {stopped: 0, failed: 1, wrongSettings: 2} as const;

/** Runs the program with the arguments of the process and ends the process. */
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
  const life = Effect.scoped(
    Effect.gen(function* () {
      const daemon = yield* program.start({settings, logger, metrics});
      process.stdout.write(`${JSON.stringify({ready: true, program: program.name, instanceId})}\n`);
      yield* stopSignal;
      yield* daemon.stop;
    }),
  );
  const exit = await Effect.runPromiseExit(life);
  metrics.close();
  if (Exit.isSuccess(exit)) return daemonExitCodes.stopped;
  process.stderr.write(`${program.name}: ${exit.cause.toString()}\n`);
  return daemonExitCodes.failed;
}

/** The handler of SIGTERM stays: without one, a further SIGTERM during the stop would end the process at once. */
const stopSignal = Effect.async<void>(resume => {
  const onSignal = () => resume(Effect.void);
  process.on('SIGTERM', onSignal);
  process.once('SIGINT', onSignal);
});
