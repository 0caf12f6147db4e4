/**
 * Plays seeds of the soak one after the other and prints a line for each.
 *
 * Exit codes: 0 every promise held, 1 a promise was broken, 2 wrong arguments.
 */
import {readFileSync} from 'node:fs';
import {join, resolve} from 'node:path';
import {settingsTemplateFile} from '@cuminsill/standins';
import {Command, InvalidArgumentError, Option} from 'commander';
import type {ProfileName} from '../fault_plan';
import {faultProfiles} from '../fault_plan';
import type {SoakResult} from '../run_soak';
import {runSoak} from '../run_soak';

interface Options {
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
const regressionFile = join(__dirname, '../../regression_seeds.json');

function wholeNumber(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0) throw new InvalidArgumentError('use a whole number');
  return value;
}

function parseOptions(): Options {
  const command = new Command('cuminsill-soak')
    .description('Runs gateway processes under random faults and checks the promises.')
    .option('--from <seed>', 'first seed', wholeNumber, 1)
    .option('--seeds <count>', 'how many seeds', wholeNumber, 5)
    .option('--seconds <count>', 'length of the disruptions of a seed', wholeNumber, 12)
    .option('--gateways <count>', 'gateway processes', wholeNumber, 4)
    .option('--callers <count>', 'callers', wholeNumber, 16)
    .option('--folder <path>', 'where settings, logs and findings go', 'target/soak')
    .option('--regressions', 'play the seeds that failed once instead')
    .addOption(new Option('--profile <name>', 'disruptions').choices(Object.keys(faultProfiles)))
    .addHelpText('after', '\nExit codes: 0 every promise held, 1 one was broken.');
  command.parse();
  return command.opts<Options>();
}

function seedsToPlay(
  options: Options,
): ReadonlyArray<Pick<RegressionSeed, 'seed'> & {readonly profile?: ProfileName}> {
  if (options.regressions === true) {
    return JSON.parse(readFileSync(regressionFile, 'utf8')) as readonly RegressionSeed[];
  }
  const profile = options.profile === undefined ? {} : {profile: options.profile};
  return Array.from({length: options.seeds}, (_, index) => ({
    seed: options.from + index,
    ...profile,
  }));
}

function report({seed, profile, violations, requests, served, disruptions}: SoakResult): void {
  const verdict = violations.length === 0 ? 'held  ' : 'BROKEN';
  console.log(
    `${verdict} seed ${seed} (${profile}): ${disruptions} disruptions, ${requests} requests, ${served} served`,
  );
  for (const {check, detail} of violations.slice(0, 20)) console.log(`  ${check}: ${detail}`);
}

async function main(): Promise<void> {
  const options = parseOptions();
  const template = readFileSync(settingsTemplateFile, 'utf8');
  let broken = 0;
  for (const chosen of seedsToPlay(options)) {
    const result = await runSoak({
      ...chosen,
      durationMs: options.seconds * 1000,
      callerCount: options.callers,
      gatewayCount: options.gateways,
      timed: true,
      program,
      template,
      folder: join(options.folder, `seed-${chosen.seed}`),
    });
    report(result);
    if (result.violations.length > 0) broken += 1;
  }
  console.log(broken === 0 ? 'every promise held' : `${broken} seeds broke a promise`);
  process.exitCode = broken === 0 ? 0 : 1;
}

void main();
