/** The context in which commands run, and the steps that several commands share. */
import type {ConfirmReply, ErrorBody, Plan, PlanRequest} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';
import type {Catalog} from '@cuminsill/types';
import type {Command} from 'commander';
import type {ApiClient} from './api_client';
import type {CliIo} from './cli_io';
import {CliError, exitCodes} from './exit_codes';
import type {GlobalOptions, OutputFormat} from './global_options';
import {makeApiClient} from './global_options';
import {confirmationText, planText} from './plan_text';

/** Input and output, output format and API client of a command. */
export interface CommandContext {
  readonly io: CliIo;
  readonly output: OutputFormat;
  readonly client: ApiClient;
}

/** Adds a command to its parent command. */
export type CommandRegistration = (parent: Command, io: CliIo) => void;

/** Request body of `POST /v1/plans`. */
export type PlanRequestBody =
  PlanRequest | {readonly action: 'put-catalog'; readonly catalog: Catalog};

/** Makes the context of a command from its options. */
export function makeContext(command: Command, io: CliIo): CommandContext {
  const options = command.optsWithGlobals<GlobalOptions>();
  return {io, output: options.output, client: makeApiClient(options, io)};
}

/** Prints an answer as JSON or as text, depending on the output format. */
export function printAnswer(
  context: Pick<CommandContext, 'io' | 'output'>,
  answer: unknown,
  text: () => string,
): void {
  context.io.print(context.output === 'json' ? `${JSON.stringify(answer)}\n` : text());
}

/** Requests a plan for a change. */
export function requestPlan(context: CommandContext, body: PlanRequestBody): Promise<Plan> {
  return context.client.request<Plan>({method: 'POST', path: '/v1/plans', body});
}

/** Confirms a plan. A change that is stored but not yet distributed counts as a success. */
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

/** Plans a change, prints the plan, asks the operator unless `yes` is set, and confirms the plan. */
export async function planAndConfirm(
  context: CommandContext,
  body: PlanRequestBody,
  yes: boolean,
): Promise<void> {
  const plan = await requestPlan(context, body);
  throwOnBlockingRisks(plan);
  if (context.output === 'table') context.io.print(`${planText(plan)}\n`);
  if (!yes) await requireConfirmation(context, plan);
  const reply = await confirmPlan(context, plan);
  printAnswer(context, {plan, reply}, () => confirmationText(reply));
}

async function requireConfirmation(context: CommandContext, plan: Plan): Promise<void> {
  if (context.output === 'json') context.io.printError(`${planText(plan)}\n`);
  const input = await context.io.ask('Confirm this plan? [y/N] ');
  if (input === undefined) {
    throw new CliError(
      exitCodes.usage,
      'cannot ask for confirmation without a terminal; use --yes to confirm',
    );
  }
  if (/^y(es)?$/i.test(input.trim())) return;
  throw new CliError(exitCodes.refused, 'not confirmed; nothing was changed');
}

function throwOnBlockingRisks(plan: Plan): void {
  const blockingRisks = plan.risks.filter(risk => risk.severity === 'blocking');
  if (blockingRisks.length === 0) return;
  const texts = blockingRisks.map(risk => `  ${risk.text}`).join('\n');
  throw new CliError(exitCodes.refused, `the plan cannot be confirmed:\n${texts}`);
}
