/** `cuminsill intent confirm <plan file>`: puts a plan into force. */
import type {Plan} from '@cuminsill/types';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {confirmPlan, makeContext, printAnswer} from '../command_context';
import {CliError, exitCodes} from '../exit_codes';
import {readJsonFile} from '../global_options';
import {confirmationText} from '../plan_text';

/** Adds `intent confirm`. */
export const registerIntentConfirm: CommandRegistration = (parent, io) => {
  parent
    .command('confirm <plan-file>')
    .description('Puts a plan from "intent plan" into force. Confirming it again changes nothing.')
    .action(async (file: string, _options: object, command: Command) => {
      const plan = readPlanFile(file);
      const context = makeContext(command, io);
      const reply = await confirmPlan(context, plan);
      printAnswer(context, reply, () => confirmationText(reply));
    });
};

/** Rejects only files that are not plans at all; the system verifies the plan's signature. */
function readPlanFile(file: string): Plan {
  const plan = readJsonFile(file) as Partial<Plan> | null;
  const missingFields = (['digest', 'configVersion', 'change', 'signature'] as const).filter(
    field => plan?.[field] === undefined,
  );
  if (missingFields.length === 0) return plan as Plan;
  throw new CliError(
    exitCodes.usage,
    `${file} is not a plan: it has no ${missingFields.join(', ')}; write one with ` +
      '"cuminsill intent plan <file> --save <plan file>"',
  );
}
