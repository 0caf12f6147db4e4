/** `cuminsill intent confirm <plan file>`: puts a plan into force. */
import type {Plan} from '@cuminsill/types';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {confirmPlan, makeContext, printAnswer} from '../command_context';
import {CliError, exitCodes} from '../exit_codes';
import {readJsonFile} from '../global_options';
import {confirmText} from '../plan_text';

/** Adds `intent confirm`. */
export const registerIntentConfirm: CommandRegistration = (parent, io) => {
  parent
    .command('confirm <plan-file>')
    .description('Puts a plan from "intent plan" into force. Confirming it again changes nothing.')
    .action(async (file: string, _options: object, command: Command) => {
      const plan = decodePlanFile(file);
      const context = makeContext(command, io);
      const reply = await confirmPlan(context, plan);
      printAnswer(context, reply, () => confirmText(reply));
    });
};

/** The system checks the plan's signature; here only a file of another kind is refused. */
function decodePlanFile(file: string): Plan {
  const plan = readJsonFile(file) as Partial<Plan> | null;
  const missing = (['digest', 'configVersion', 'change', 'signature'] as const).filter(
    field => plan?.[field] === undefined,
  );
  if (missing.length === 0) return plan as Plan;
  throw new CliError(
    exitCodes.usage,
    `${file} is not a plan: it has no ${missing.join(', ')}; write one with ` +
      '"cuminsill intent plan <file> --save <plan file>"',
  );
}
