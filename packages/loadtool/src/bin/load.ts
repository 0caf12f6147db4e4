#!/usr/bin/env node
/** `cuminsill-load`: sends an open-loop load from many stand-in callers and reports the results. */
import {Command, Option} from 'commander';
import {loadReportText, makeLoadReport} from '../load_report';
import {runLoad} from '../load_run';
import {readLoadSettings} from '../load_settings';
import {failProgram, packageVersion} from '../program';

interface LoadCommandOptions {
  readonly settings: string;
  readonly output: 'json' | 'table';
}

async function run(options: LoadCommandOptions): Promise<void> {
  const loadOptions = readLoadSettings(options.settings);
  const outcome = await runLoad(loadOptions);
  const report = makeLoadReport(outcome, loadOptions.catalog);
  const text = options.output === 'json' ? `${JSON.stringify(report)}\n` : loadReportText(report);
  process.stdout.write(text);
  if (report.notWhole > 0) process.exitCode = 1;
}

new Command('cuminsill-load')
  .description('Sends an open-loop load from many stand-in callers and reports the results.')
  .version(packageVersion())
  .requiredOption('--settings <file>', 'JSON settings file')
  .addOption(
    new Option('--output <form>', 'form of the report').choices(['json', 'table']).default('table'),
  )
  .action((options: LoadCommandOptions) => run(options).catch(failProgram))
  .parse();
