#!/usr/bin/env node
/** `npm run demo`: runs both example deployments and checks every promise. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {deploymentNames} from '@cuminsill/standins';
import type {DeploymentName} from '@cuminsill/standins';
import {Command, InvalidArgumentError, Option} from 'commander';
import {findUnbuiltDaemons} from '../daemon_settings';
import {runDemo} from '../demo/run_demo';
import type {DemoResult} from '../demo/run_demo';
import {formatLoadReport} from '../load_report';
import {killChildrenOnExit} from '../managed_process';
import {reportFailure, packageVersion} from '../command_line';
import {formatTextTable} from '../text_table';

interface DemoCommandOptions {
  readonly durationS: number;
  readonly deployment?: DeploymentName;
  readonly ratePercent: number;
  readonly seed: number;
}

function parseWholeNumber(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value >= 1 && value <= 3600) return value;
  throw new InvalidArgumentError('use a whole number from 1 to 3600');
}

async function runDemoCommand(options: DemoCommandOptions): Promise<void> {
  const unbuiltDaemons = findUnbuiltDaemons();
  if (unbuiltDaemons.length > 0) throw new Error(`not built: ${unbuiltDaemons.join(', ')}`);
  const deployments = options.deployment === undefined ? deploymentNames : [options.deployment];
  const directory = mkdtempSync(join(tmpdir(), 'cuminsill-demo-'));
  const startedAtMs = performance.now();
  try {
    for (const name of deployments) {
      const result = await runDemo(name, {
        directory: join(directory, name),
        durationS: options.durationS,
        demandFraction: options.ratePercent / 100,
        seed: options.seed,
      });
      printResult(result);
    }
  } finally {
    rmSync(directory, {recursive: true});
  }
  process.stdout.write(`took ${((performance.now() - startedAtMs) / 1000).toFixed(1)} s\n`);
}

function printResult(result: DemoResult): void {
  const rows = result.checks.map(check => [check.holds ? 'yes' : 'NO', check.name, check.detail]);
  process.stdout.write(`${result.name}\n\n${formatLoadReport(result.report)}\n`);
  process.stdout.write(`${formatTextTable(['HOLDS', 'PROMISE', 'FOUND'], rows)}\n`);
  if (result.checks.some(check => !check.holds)) process.exitCode = 1;
}

killChildrenOnExit();
new Command('demo')
  .description('Runs both example deployments and checks every promise.')
  .version(packageVersion())
  .option('--duration-s <seconds>', 'length of the load', parseWholeNumber, 14)
  .addOption(new Option('--deployment <name>', 'run only this deployment').choices(deploymentNames))
  .option('--rate-percent <number>', 'percentage of the expected demand', parseWholeNumber, 60)
  .option('--seed <number>', 'seed of the arrivals', parseWholeNumber, 1)
  .action((options: DemoCommandOptions) => runDemoCommand(options).catch(reportFailure))
  .parse();
