#!/usr/bin/env node
/** `cuminsill-replay`: replays traces and compares stated with actual outcomes; see `docs/traces.md`. */
import {readFileSync} from 'node:fs';
import {Command, Option} from 'commander';
import {reportFailure, packageVersion} from '../command_line';
import {findingsText, replayTrace} from '../replay/replay_trace';
import {scenarioKinds} from '../replay/scenario_kinds';
import {parseTrace} from '../replay/trace_file';

interface ReplayCommandOptions {
  readonly output: 'json' | 'table';
}

async function run(files: readonly string[], options: ReplayCommandOptions): Promise<void> {
  for (const file of files) {
    const trace = parseTrace(file, readFileSync(file, 'utf8'));
    const findings = await replayTrace(trace, scenarioKinds);
    if (files.length > 1 && options.output === 'table') process.stdout.write(`${file}\n`);
    process.stdout.write(
      options.output === 'json' ? `${JSON.stringify(findings)}\n` : findingsText(findings),
    );
    if (findings.some(finding => !finding.matches)) process.exitCode = 1;
  }
}

new Command('cuminsill-replay')
  .description('Replays traces and compares the stated outcomes with the actual ones.')
  .version(packageVersion())
  .argument('<trace-files...>', 'JSON-lines files')
  .addOption(
    new Option('--output <form>', 'form of the findings')
      .choices(['json', 'table'])
      .default('table'),
  )
  .action((files: readonly string[], options: ReplayCommandOptions) =>
    run(files, options).catch(reportFailure),
  )
  .parse();
