/** `cuminsill gateway check <file>`: checks a gateway's settings file without starting it. */
import {readFileSync} from 'node:fs';
import {decodeSettings, SettingsError} from '@cuminsill/gateway';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {printAnswer} from '../command_context';
import {CliError, exitCodes} from '../exit_codes';
import type {GlobalOptions} from '../global_options';

/** Adds `gateway check`. */
export const registerGatewayCheck: CommandRegistration = (parent, io) => {
  parent
    .command('check <file>')
    .description('Checks a settings file of a gateway and lists every problem; needs no server.')
    .action((file: string, _options: object, command: Command) => {
      checkSettingsFile(file);
      const {output} = command.optsWithGlobals<GlobalOptions>();
      printAnswer({io, output}, {file, valid: true}, () => `${file}: valid gateway settings\n`);
    });
};

function checkSettingsFile(file: string): void {
  try {
    decodeSettings(readFileSync(file, 'utf8'));
  } catch (error) {
    const problem = error instanceof SettingsError ? error.message : `cannot read ${file}`;
    throw new CliError(exitCodes.usage, problem);
  }
}
