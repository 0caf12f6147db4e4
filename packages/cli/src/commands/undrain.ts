/** `cuminsill undrain <site>`: removes the intents that drain or stop a site. */
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {makeContext, planAndConfirm} from '../command_context';
import {CliError, exitCodes} from '../exit_codes';
import {fetchIntents} from './intent_list';

/** Adds `undrain`. */
export const registerUndrain: CommandRegistration = (parent, io) => {
  parent
    .command('undrain <site>')
    .description('Sends new work to a drained site again.')
    .option('--yes', 'confirm without asking', false)
    .action(async (siteId: string, options: {readonly yes: boolean}, command: Command) => {
      const context = makeContext(command, io);
      const {intents} = await fetchIntents(context.client);
      const drains = intents.filter(
        ({intent}) => intent.kind !== 'route' && intent.siteId === siteId,
      );
      if (drains.length === 0) {
        throw new CliError(exitCodes.refused, `site "${siteId}" is not drained`);
      }
      for (const {intent} of drains) {
        await planAndConfirm(context, {action: 'remove', intentId: intent.id}, options.yes);
      }
    });
};
