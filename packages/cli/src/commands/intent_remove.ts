/** `cuminsill intent remove <id>`: plans the removal of an intent and confirms it. */
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {makeContext, planAndConfirm} from '../command_context';

/** Adds `intent remove`. */
export const registerIntentRemove: CommandRegistration = (parent, io) => {
  parent
    .command('remove <id>')
    .description('Shows what the removal of an intent would change, asks, and removes it.')
    .option('--yes', 'confirm without asking', false)
    .action(async (id: string, options: {readonly yes: boolean}, command: Command) => {
      const context = makeContext(command, io);
      await planAndConfirm(context, {action: 'remove', intentId: id}, options.yes);
    });
};
