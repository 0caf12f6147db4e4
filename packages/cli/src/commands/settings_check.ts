/** `cuminsill settings check <file>`: validates a settings file without a server. */
import {basename} from 'node:path';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {printAnswer} from '../command_context';
import {CliError, exitCodes} from '../exit_codes';
import type {GlobalOptions} from '../global_options';
import {readJsonFile} from '../global_options';
import {settingsCheckers} from '../settings_checkers';

/** Adds `settings check`. */
export const registerSettingsCheck: CommandRegistration = (parent, io) => {
  const kinds = Object.keys(settingsCheckers).join(', ');
  parent
    .command('check <file>')
    .description('Checks a settings file and lists every problem; needs no server.')
    .option('--kind <kind>', `one of ${kinds}; by default the start of the file name`)
    .action(async (file: string, options: {readonly kind?: string}, command: Command) => {
      const kind = options.kind ?? kindOfFile(file);
      const checker = kind === undefined ? undefined : settingsCheckers[kind];
      if (checker === undefined) {
        const problem =
          kind === undefined
            ? `the name of ${file} does not start with its kind`
            : `no kind "${kind}"`;
        throw new CliError(exitCodes.usage, `${problem}; use --kind with one of ${kinds}`);
      }
      checker(file, readJsonFile(file));
      const {output} = command.optsWithGlobals<GlobalOptions>();
      printAnswer({io, output}, {file, kind, valid: true}, () => `${file}: valid ${kind}\n`);
    });
};

function kindOfFile(file: string): string | undefined {
  return Object.keys(settingsCheckers).find(kind => basename(file).startsWith(kind));
}
