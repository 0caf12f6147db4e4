/** `cuminsill gateway explain <request id>`: tells from logs what became of one request. */
import {readFileSync} from 'node:fs';
import {explainRequest, storyText} from '@cuminsill/gateway';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {printAnswer} from '../command_context';
import {CliError, exitCodes} from '../exit_codes';
import type {GlobalOptions} from '../global_options';

interface ExplainOptions {
  readonly log: readonly string[];
}

const standardInput = '-';
const standardInputDescriptor = 0;

/** Adds `gateway explain`. */
export const registerGatewayExplain: CommandRegistration = (parent, io) => {
  parent
    .command('explain <requestId>')
    .description('Tells from the logs of gateways what became of one request; needs no server.')
    .requiredOption(
      '--log <file...>',
      `logs of one or several gateways; ${standardInput} reads standard input`,
    )
    .action((requestId: string, {log}: ExplainOptions, command: Command) => {
      const stories = explainRequest(log.map(readLog).join('\n'), requestId);
      if (stories.length === 0) {
        const hint = 'other logs may have it; requests above the rate of log lines leave none';
        throw new CliError(exitCodes.refused, `no line about request ${requestId}; ${hint}`);
      }
      const {output} = command.optsWithGlobals<GlobalOptions>();
      printAnswer({io, output}, stories, () => stories.map(storyText).join('\n'));
    });
};

function readLog(file: string): string {
  try {
    return readFileSync(file === standardInput ? standardInputDescriptor : file, 'utf8');
  } catch (error) {
    throw new CliError(exitCodes.usage, `cannot read ${file}: ${(error as Error).message}`);
  }
}
