#!/usr/bin/env node
/** `npm run bench`: measures one instance; see `../bench.ts`. */
import {Command, InvalidArgumentError, Option} from 'commander';
import type {BenchPart} from '../bench';
import {runBench} from '../bench';
import {benchReportText} from '../bench_report';
import {endWithChildrenOnSignal} from '../child_process';
import {failProgram, packageVersion} from '../program';

interface BenchCommandOptions {
  readonly output: 'json' | 'table';
  readonly seed: number;
  readonly workers: number;
  readonly connections: number;
  readonly measureS: number;
  readonly baseline: boolean;
  readonly only: BenchPart | undefined;
}

function wholeNumber(text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value >= 1 && value <= 10_000) return value;
  throw new InvalidArgumentError('use a whole number from 1 to 10000');
}

async function run(options: BenchCommandOptions): Promise<void> {
  const report = await runBench({
    seed: options.seed,
    workers: options.workers,
    connections: options.connections,
    warmUpMs: 1000,
    measureMs: options.measureS * 1000,
    baselineOnly: options.baseline,
    only: options.only,
  });
  process.stdout.write(
    options.output === 'json' ? `${JSON.stringify(report)}\n` : benchReportText(report),
  );
  if (report.skipped.length > 0 && !options.baseline) process.exitCode = 1;
}

endWithChildrenOnSignal();
new Command('bench')
  .description('Measures one entry against its target and a bare http server.')
  .version(packageVersion())
  .addOption(
    new Option('--output <form>', 'form of the report').choices(['json', 'table']).default('table'),
  )
  .option('--seed <number>', 'seed of the arrivals', wholeNumber, 1)
  .option('--workers <number>', 'threads of the load generator', wholeNumber, 4)
  .option('--connections <number>', 'connections in all', wholeNumber, 64)
  .option('--measure-s <seconds>', 'length of each measurement', wholeNumber, 4)
  .addOption(new Option('--only <part>', 'measure one part').choices(['lookups', 'forwarding']))
  .option('--baseline', 'measure only what needs no daemons', false)
  .action((options: BenchCommandOptions) => run(options).catch(failProgram))
  .parse();
