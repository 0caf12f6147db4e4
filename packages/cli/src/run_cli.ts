/** Parses the arguments, runs one command and returns its exit code. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import type {SocketAddress} from '@cuminsill/types';
import {InvalidDataError} from '@cuminsill/validation';
import {Command, CommanderError, Option} from 'commander';
import type {CliIo} from './cli_io';
import type {CommandRegistration} from './command_context';
import {registerCatalogPut} from './commands/catalog_put';
import {registerDrain} from './commands/drain';
import {registerExplain} from './commands/explain';
import {registerGatewayCheck} from './commands/gateway_check';
import {registerGatewayExplain} from './commands/gateway_explain';
import {registerGatewayLosses} from './commands/gateway_losses';
import {registerGatewayStatus} from './commands/gateway_status';
import {registerIntentConfirm} from './commands/intent_confirm';
import {registerIntentList} from './commands/intent_list';
import {registerIntentPlan} from './commands/intent_plan';
import {registerIntentRemove} from './commands/intent_remove';
import {registerIntentShow} from './commands/intent_show';
import {registerLookup} from './commands/lookup';
import {registerSettingsCheck} from './commands/settings_check';
import {registerStatus} from './commands/status';
import {registerUndrain} from './commands/undrain';
import {CliError, exitCodes} from './exit_codes';
import type {ExitCode} from './exit_codes';
import {parseSeconds, parseServer} from './global_options';

interface CommandGroup {
  readonly name: string;
  readonly description: string;
  readonly commands: readonly CommandRegistration[];
}

const topLevelCommands: readonly CommandRegistration[] = [
  registerDrain,
  registerUndrain,
  registerStatus,
  registerExplain,
  registerLookup,
];

const commandGroups: readonly CommandGroup[] = [
  {
    name: 'intent',
    description: 'Plans, confirms, shows and removes intents.',
    commands: [
      registerIntentPlan,
      registerIntentConfirm,
      registerIntentList,
      registerIntentShow,
      registerIntentRemove,
    ],
  },
  {
    name: 'catalog',
    description: 'Changes the catalog of regions, services and targets.',
    commands: [registerCatalogPut],
  },
  {name: 'settings', description: 'Checks settings files.', commands: [registerSettingsCheck]},
  {
    name: 'gateway',
    description: "Explains and shows gateways on the users' platform.",
    commands: [
      registerGatewayExplain,
      registerGatewayLosses,
      registerGatewayStatus,
      registerGatewayCheck,
    ],
  },
];

/** Runs the command that the arguments name. Never rejects. */
export async function runCli(args: readonly string[], io: CliIo): Promise<ExitCode> {
  try {
    await makeProgram(io).parseAsync([...args], {from: 'user'});
    return exitCodes.done;
  } catch (error) {
    return reportError(error, args, io);
  }
}

function makeProgram(io: CliIo): Command {
  const program = new Command('cuminsill')
    .description('Steers traffic across regions.')
    .version(readVersion())
    .option(
      '--server <host:port>',
      "operators' API; give it again for further servers",
      addServer,
      [],
    )
    .option('--token-file <file>', 'file with the bearer token; otherwise CUMINSILL_TOKEN is used')
    .option('--ca <file>', 'CA certificates (PEM) that sign those of the servers; switches to TLS')
    .addOption(
      new Option('--output <form>', 'output format').choices(['json', 'table']).default('table'),
    )
    .option('--timeout-s <seconds>', 'longest wait for one server', parseSeconds, 10);
  for (const registerCommand of topLevelCommands) registerCommand(program, io);
  for (const group of commandGroups) {
    const parent = program.command(group.name).description(group.description);
    for (const registerCommand of group.commands) registerCommand(parent, io);
  }
  redirectOutput(program, io);
  return program;
}

/** Makes every command throw errors instead of ending the process, and print through `io`. */
function redirectOutput(command: Command, io: CliIo): void {
  command.exitOverride();
  command.configureOutput({writeOut: io.print, writeErr: io.printError});
  for (const subcommand of command.commands) redirectOutput(subcommand, io);
}

function addServer(text: string, servers: readonly SocketAddress[]): readonly SocketAddress[] {
  return [...servers, parseServer(text)];
}

function reportError(error: unknown, args: readonly string[], io: CliIo): ExitCode {
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? exitCodes.done : exitCodes.usage;
  }
  if (error instanceof InvalidDataError) {
    io.printError(`${error.message}\n`);
    return exitCodes.usage;
  }
  if (!(error instanceof CliError)) {
    io.printError(`unexpected error: ${error instanceof Error ? error.message : String(error)}\n`);
    return exitCodes.refused;
  }
  const wantsJson = args.includes('--output=json') || args[args.indexOf('--output') + 1] === 'json';
  if (wantsJson && error.body !== undefined) io.print(`${JSON.stringify(error.body)}\n`);
  io.printError(`${error.message}\n`);
  return error.exitCode;
}

function readVersion(): string {
  const file = join(__dirname, '../package.json');
  return (JSON.parse(readFileSync(file, 'utf8')) as {readonly version: string}).version;
}
