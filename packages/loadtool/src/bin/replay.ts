#!/usr/bin/env node
/** `cuminsill-replay`: replays a trace and compares stated with actual outcomes; see `docs/traces.md`. */
import {readFileSync} from 'node:fs';
import {Command, Option} from 'commander';
import {failProgram, packageVersion} from '../program';
import {findingsText, replayTrace} from '../replay/replay_trace';
import {scenarioKinds} from '../replay/scenario_kinds';
import {parseTrace} from '../replay/trace_file';

interface ReplayCommandOptions {
  readonly output: 'json' | 'table';
}

async function run(file: string, options: ReplayCommandOptions): Promise<void> {
  const trace = parseTrace(file, readFileSync(file, 'utf8'));
  const findings = await replayTrace(trace, scenarioKinds);
  process.stdout.write(
    options.output === 'json' ? `${JSON.stringify(findings)}\n` : findingsText(findings),
  );
  if (findings.some(finding => !finding.matches)) process.exitCode = 1;
}

new Command('cuminsill-replay')
  .description('Replays a trace and compares the stated outcomes with the actual ones.')
  .version(packageVersion())
  .argument('<trace-file>', 'JSON-lines file')
  .addOption(
    new Option('--output <form>', 'form of the findings')
      .choices(['json', 'table'])
      .default('table'),
  )
  .action((file: string, options: ReplayCommandOptions) => run(file, options).catch(failProgram))
  .parse();
