/** `cuminsill drain <site>`: plans a drain of a site, so that the site gets no new requests, and confirms it. */
import type {Intent} from '@cuminsill/types';
import {decodeOrThrow, IntentSchema} from '@cuminsill/validation';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {makeContext, planAndConfirm} from '../command_context';

interface DrainOptions {
  readonly stop: boolean;
  readonly yes: boolean;
}

/** Adds `drain`. */
export const registerDrain: CommandRegistration = (parent, io) => {
  parent
    .command('drain <site>')
    .description('Sends no new work to a site, so that it can be maintained.')
    .option('--stop', 'declare that the targets of the site will be stopped after the drain', false)
    .option('--yes', 'confirm without asking', false)
    .action(async (siteId: string, options: DrainOptions, command: Command) => {
      const context = makeContext(command, io);
      const intent = drainIntent(siteId, options.stop);
      await planAndConfirm(context, {action: 'put', intent}, options.yes);
    });
};

/** Drains and stops of a site use the same id, so that a stop replaces a drain. */
function drainIntent(siteId: string, stop: boolean): Intent {
  const intent = {kind: stop ? 'stop' : 'drain', id: `drain-${siteId}`, siteId};
  return decodeOrThrow(`site "${siteId}"`, IntentSchema, intent);
}
