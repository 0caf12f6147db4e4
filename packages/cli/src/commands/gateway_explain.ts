/** `cuminsill gateway explain <request id>`: shows from the logs of gateways how one request was handled. */
import {readFileSync} from 'node:fs';
import {explainRequest, explanationText} from '@cuminsill/gateway';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {printAnswer} from '../command_context';
import {CliError, exitCodes} from '../exit_codes';
import type {GlobalOptions} from '../global_options';

interface GatewayExplainOptions {
  readonly log: readonly string[];
}

const standardInputName = '-';
/** File descriptor of standard input. */
const standardInputDescriptor = 0;

/** Adds `gateway explain`. */
export const registerGatewayExplain: CommandRegistration = (parent, io) => {
  parent
    .command('explain <requestId>')
    .description('Tells from the logs of gateways what became of one request; needs no server.')
    .requiredOption(
      '--log <file...>',
      `logs of one or several gateways; ${standardInputName} reads standard input`,
    )
    .action((requestId: string, {log}: GatewayExplainOptions, command: Command) => {
      const stories = explainRequest(log.map(readLogFile).join('\n'), requestId);
      if (stories.length === 0) {
        const hint =
          'it may be in another log, and requests above the log rate limit are not logged';
        throw new CliError(exitCodes.refused, `no line about request ${requestId}; ${hint}`);
      }
      const {output} = command.optsWithGlobals<GlobalOptions>();
      printAnswer({io, output}, stories, () => stories.map(explanationText).join('\n'));
    });
};

function readLogFile(file: string): string {
  try {
    return readFileSync(file === standardInputName ? standardInputDescriptor : file, 'utf8');
  } catch (error) {
    throw new CliError(exitCodes.usage, `cannot read ${file}: ${(error as Error).message}`);
  }
}
