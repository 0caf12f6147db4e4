/** `cuminsill catalog put <file>`: plans a new catalog and confirms it. */
import {CatalogSchema, decodeOrThrow} from '@cuminsill/validation';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {makeContext, planAndConfirm} from '../command_context';
import {readJsonFile} from '../global_options';

/** Adds `catalog put`. */
export const registerCatalogPut: CommandRegistration = (parent, io) => {
  parent
    .command('put <file>')
    .description('Replaces the catalog of regions, services and targets by the one in a JSON file.')
    .option('--yes', 'confirm without asking', false)
    .action(async (file: string, options: {readonly yes: boolean}, command: Command) => {
      const catalog = decodeOrThrow(file, CatalogSchema, readJsonFile(file));
      const context = makeContext(command, io);
      await planAndConfirm(context, {action: 'put-catalog', catalog}, options.yes);
    });
};
