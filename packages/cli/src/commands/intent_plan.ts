/** `cuminsill intent plan <file>`: shows what an intent would change. */
import {writeFileSync} from 'node:fs';
import {decodeOrThrow, IntentSchema} from '@cuminsill/validation';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {makeContext, printAnswer, requestPlan} from '../command_context';
import {readJsonFile} from '../global_options';
import {planText} from '../plan_text';

/** Adds `intent plan`. */
export const registerIntentPlan: CommandRegistration = (parent, io) => {
  parent
    .command('plan <file>')
    .description('Shows what the intent in a JSON file would change; changes nothing.')
    .option('--save <plan-file>', 'write the plan to a file for "intent confirm"')
    .action(async (file: string, options: {readonly save?: string}, command: Command) => {
      const intent = decodeOrThrow(file, IntentSchema, readJsonFile(file));
      const context = makeContext(command, io);
      const plan = await requestPlan(context, {action: 'put', intent});
      if (options.save !== undefined) writeFileSync(options.save, `${JSON.stringify(plan)}\n`);
      printAnswer(context, plan, () => planText(plan));
    });
};
