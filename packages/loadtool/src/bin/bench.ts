#!/usr/bin/env node
/** `npm run bench`: benchmarks one instance; see `../bench.ts`. */
import {Command, InvalidArgumentError, Option} from 'commander';
import type {BenchPart} from '../bench';
import {runBench} from '../bench';
import {formatBenchReport} from '../bench_report';
import {killChildrenOnExit} from '../managed_process';
import {reportFailure, packageVersion} from '../command_line';

interface BenchCommandOptions {
  readonly output: 'json' | 'table';
  readonly seed: number;
  readonly workers: number;
  readonly connections: number;
  readonly measureS: number;
  readonly baseline: boolean;
  readonly only: BenchPart | undefined;
}

function parseWholeNumber(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value >= 1 && value <= 10_000) return value;
  throw new InvalidArgumentError('use a whole number from 1 to 10000');
}

async function runBenchCommand(options: BenchCommandOptions): Promise<void> {
  const report = await runBench({
    seed: options.seed,
    workers: options.workers,
    connections: options.connections,
    warmUpMs: 1000,
    measureMs: options.measureS * 1000,
    baselineOnly: options.baseline,
    onlyPart: options.only,
  });
  process.stdout.write(
    options.output === 'json' ? `${JSON.stringify(report)}\n` : formatBenchReport(report),
  );
  if (report.skipped.length > 0 && !options.baseline) process.exitCode = 1;
}

killChildrenOnExit();
new Command('bench')
  .description('Measures one entry against its target and a bare http server.')
  .version(packageVersion())
  .addOption(
    new Option('--output <form>', 'format of the report')
      .choices(['json', 'table'])
      .default('table'),
  )
  .option('--seed <number>', 'seed of the arrivals', parseWholeNumber, 1)
  .option('--workers <number>', 'threads of the load generator', parseWholeNumber, 4)
  .option('--connections <number>', 'connections of all threads together', parseWholeNumber, 64)
  .option('--measure-s <seconds>', 'length of each measurement', parseWholeNumber, 4)
  .addOption(
    new Option('--only <part>', 'measure only this part').choices(['lookups', 'forwarding']),
  )
  .option('--baseline', 'measure only what needs no daemons', false)
  .action((options: BenchCommandOptions) => runBenchCommand(options).catch(reportFailure))
  .parse();
