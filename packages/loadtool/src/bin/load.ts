#!/usr/bin/env node
/** `cuminsill-load`: sends an open-loop load from many stand-in callers and reports the results. */
import {Command, Option} from 'commander';
import {formatLoadReport, makeLoadReport} from '../load_report';
import {runLoad} from '../run_load';
import {readLoadSettings} from '../load_settings';
import {reportFailure, packageVersion} from '../command_line';

interface LoadCommandOptions {
  readonly settings: string;
  readonly output: 'json' | 'table';
}

async function runLoadCommand(options: LoadCommandOptions): Promise<void> {
  const loadOptions = readLoadSettings(options.settings);
  const result = await runLoad(loadOptions);
  const report = makeLoadReport(result, loadOptions.catalog);
  const text = options.output === 'json' ? `${JSON.stringify(report)}\n` : formatLoadReport(report);
  process.stdout.write(text);
  if (report.notWhole > 0) process.exitCode = 1;
}

new Command('cuminsill-load')
  .description('Sends an open-loop load from many stand-in callers and reports the results.')
  .version(packageVersion())
  .requiredOption('--settings <file>', 'JSON settings file')
  .addOption(
    new Option('--output <form>', 'format of the report')
      .choices(['json', 'table'])
      .default('table'),
  )
  .action((options: LoadCommandOptions) => runLoadCommand(options).catch(reportFailure))
  .parse();
