/**
 * Command line of the soak: runs seeds one after the other and prints one line for each, and its violations.
 *
 * Exit codes: 0 every promise held, 1 a promise was broken or the arguments are invalid.
 */
import {readFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {settingsTemplateFile} from '@cuminsill/standins';
import {Command, InvalidArgumentError, Option} from 'commander';
import type {ProfileName} from '../fault_plan';
import {faultProfiles} from '../fault_plan';
import type {SoakResult} from '../run_soak';
import {runSoak} from '../run_soak';

interface CommandOptions {
  readonly from: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly gateways: number;
  readonly callers: number;
  readonly profile?: ProfileName;
  readonly regressions?: boolean;
  readonly folder: string;
}

interface RegressionSeed {
  readonly seed: number;
  readonly profile: ProfileName;
  readonly cause: string;
}

const program = resolve('target/cuminsill-gateway.js');
const regressionSeedsFile = join(__dirname, '../../regression_seeds.json');

function parseWholeNumber(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0) throw new InvalidArgumentError('use a whole number');
  return value;
}

function parseOptions(): CommandOptions {
  const command = new Command('cuminsill-soak')
    .description('Runs gateway processes under random faults and checks the promises.')
    .option('--from <seed>', 'first seed', parseWholeNumber, 1)
    .option('--seeds <count>', 'number of seeds', parseWholeNumber, 5)
    .option('--seconds <count>', 'how long faults are injected for each seed', parseWholeNumber, 12)
    .option('--gateways <count>', 'number of gateway processes', parseWholeNumber, 4)
    .option('--callers <count>', 'number of callers', parseWholeNumber, 16)
    .option('--folder <path>', 'folder for settings, logs and findings', 'target/soak')
    .option('--regressions', 'run the seeds that have failed before instead')
    .addOption(new Option('--profile <name>', 'fault profile').choices(Object.keys(faultProfiles)))
    .addHelpText('after', '\nExit codes: 0 every promise held, 1 one was broken.');
  command.parse();
  return command.opts<CommandOptions>();
}

function seedsToRun(
  options: CommandOptions,
): ReadonlyArray<Pick<RegressionSeed, 'seed'> & {readonly profile?: ProfileName}> {
  if (options.regressions === true) {
    return JSON.parse(readFileSync(regressionSeedsFile, 'utf8')) as readonly RegressionSeed[];
  }
  const profile = options.profile === undefined ? {} : {profile: options.profile};
  return Array.from({length: options.seeds}, (_, index) => ({
    seed: options.from + index,
    ...profile,
  }));
}

function printResult({seed, profile, violations, requests, served, disruptions}: SoakResult): void {
  const verdict = violations.length === 0 ? 'held  ' : 'BROKEN';
  console.log(
    `${verdict} seed ${seed} (${profile}): ${disruptions} disruptions, ${requests} requests, ${served} served`,
  );
  for (const {check, detail} of violations.slice(0, 20)) console.log(`  ${check}: ${detail}`);
}

async function main(): Promise<void> {
  const options = parseOptions();
  const template = readFileSync(settingsTemplateFile, 'utf8');
  let failedSeedCount = 0;
  for (const run of seedsToRun(options)) {
    const result = await runSoak({
      ...run,
      durationMs: options.seconds * 1000,
      callerCount: options.callers,
      gatewayCount: options.gateways,
      includesTimedChecks: true,
      programPath: program,
      templateText: template,
      folder: join(options.folder, `seed-${run.seed}`),
    });
    printResult(result);
    if (result.violations.length > 0) failedSeedCount += 1;
  }
  console.log(
    failedSeedCount === 0 ? 'every promise held' : `${failedSeedCount} seeds broke a promise`,
  );
  // Node's own end of the process can wait for good for a connection that was reset while it was being closed.
  process.exit(failedSeedCount === 0 ? 0 : 1);
}

// By default these signals end the process without its exit handlers, which end the gateways.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));
void main();
