#!/usr/bin/env node
/** `cuminsill-replay`: replays traces and compares expected with actual results; see `docs/traces.md`. */
import {readFileSync} from 'node:fs';
import {Command, Option} from 'commander';
import {reportFailure, packageVersion} from '../command_line';
import {formatResults, replayTrace} from '../replay/replay_trace';
import {scenarioFactories} from '../replay/scenario_factories';
import {parseTrace} from '../replay/trace_file';

interface ReplayCommandOptions {
  readonly output: 'json' | 'table';
}

async function runReplayCommand(
  files: readonly string[],
  options: ReplayCommandOptions,
): Promise<void> {
  for (const file of files) {
    const trace = parseTrace(file, readFileSync(file, 'utf8'));
    const results = await replayTrace(trace, scenarioFactories);
    if (files.length > 1 && options.output === 'table') process.stdout.write(`${file}\n`);
    process.stdout.write(
      options.output === 'json' ? `${JSON.stringify(results)}\n` : formatResults(results),
    );
    if (results.some(result => !result.matches)) process.exitCode = 1;
  }
}

new Command('cuminsill-replay')
  .description('Replays traces and compares the expected results with the actual ones.')
  .version(packageVersion())
  .argument('<trace-files...>', 'JSON-lines files')
  .addOption(
    new Option('--output <form>', 'format of the results')
      .choices(['json', 'table'])
      .default('table'),
  )
  .action((files: readonly string[], options: ReplayCommandOptions) =>
    runReplayCommand(files, options).catch(reportFailure),
  )
  .parse();
