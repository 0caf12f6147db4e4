/** What a command works with, and the steps that several commands share. */
import type {ConfirmReply, ErrorBody, Plan, PlanRequest} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';
import type {Catalog} from '@cuminsill/types';
import type {Command} from 'commander';
import type {ApiClient} from './api_client';
import type {CliIo} from './cli_io';
import {CliError, exitCodes} from './exit_codes';
import type {GlobalOptions, OutputForm} from './global_options';
import {makeApiClient} from './global_options';
import {confirmText, planText} from './plan_text';

/** A command with its surroundings. */
export interface CommandContext {
  readonly io: CliIo;
  readonly output: OutputForm;
  readonly client: ApiClient;
}

/** Adds one command to its parent. */
export type CommandRegistration = (parent: Command, io: CliIo) => void;

/** What `POST /v1/plans` takes. */
export type PlanBody = PlanRequest | {readonly action: 'put-catalog'; readonly catalog: Catalog};

/** Makes the context of a command from the options given. */
export function makeContext(command: Command, io: CliIo): CommandContext {
  const options = command.optsWithGlobals<GlobalOptions>();
  return {io, output: options.output, client: makeApiClient(options, io)};
}

/** Prints the answer as JSON or as the given text. */
export function printAnswer(
  context: Pick<CommandContext, 'io' | 'output'>,
  answer: unknown,
  text: () => string,
): void {
  context.io.print(context.output === 'json' ? `${JSON.stringify(answer)}\n` : text());
}

/** Asks the system what a change would do. */
export function requestPlan(context: CommandContext, body: PlanBody): Promise<Plan> {
  return context.client.request<Plan>({method: 'POST', path: '/v1/plans', body});
}

/** Confirms a plan. A change that is stored but not yet distributed is done. */
export async function confirmPlan(context: CommandContext, plan: Plan): Promise<ConfirmReply> {
  const answer = await context.client.request<ConfirmReply | ErrorBody>({
    method: 'POST',
    path: '/v1/plans/confirm',
    body: {plan},
    changesState: true,
  });
  if (!('code' in answer)) return answer;
  if (answer.code === resultCodes.storedNotDistributed.code) {
    return {state: 'stored', configVersion: plan.configVersion + 1, repeated: false};
  }
  throw new CliError(exitCodes.unknown, `${answer.code} ${answer.name}: ${answer.reason}`, answer);
}

/** Plans a change, shows the plan, asks unless `yes` is set, and confirms it. */
export async function planAskConfirm(
  context: CommandContext,
  body: PlanBody,
  yes: boolean,
): Promise<void> {
  const plan = await requestPlan(context, body);
  refuseBlockingRisks(plan);
  if (context.output === 'table') context.io.print(`${planText(plan)}\n`);
  if (!yes) await askOrThrow(context, plan);
  const reply = await confirmPlan(context, plan);
  printAnswer(context, {plan, reply}, () => confirmText(reply));
}

async function askOrThrow(context: CommandContext, plan: Plan): Promise<void> {
  if (context.output === 'json') context.io.printError(`${planText(plan)}\n`);
  const answer = await context.io.ask('Confirm this plan? [y/N] ');
  if (answer === undefined) {
    throw new CliError(exitCodes.usage, 'there is no terminal to ask on; use --yes to confirm');
  }
  if (/^y(es)?$/i.test(answer.trim())) return;
  throw new CliError(exitCodes.refused, 'not confirmed; nothing was changed');
}

function refuseBlockingRisks(plan: Plan): void {
  const blocking = plan.risks.filter(risk => risk.severity === 'blocking');
  if (blocking.length === 0) return;
  const texts = blocking.map(risk => `  ${risk.text}`).join('\n');
  throw new CliError(exitCodes.refused, `the plan cannot be confirmed:\n${texts}`);
}
