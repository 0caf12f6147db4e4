/** `cuminsill intent show <id>`: shows one intent in force. */
import type {ConfirmedIntent} from '@cuminsill/types';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {makeContext, printAnswer} from '../command_context';
import {sharesText} from '../plan_text';
import {formatFields, formatShare, formatTime} from '../table';
import type {Cell} from '../table';
import {intentSubject} from './intent_list';

/** Adds `intent show`. */
export const registerIntentShow: CommandRegistration = (parent, io) => {
  parent
    .command('show <id>')
    .description('Shows one intent in force.')
    .action(async (id: string, _options: object, command: Command) => {
      const context = makeContext(command, io);
      const path = `/v1/intents/${encodeURIComponent(id)}`;
      const confirmed = await context.client.request<ConfirmedIntent>({method: 'GET', path});
      printAnswer(context, confirmed, () => formatFields(intentFields(confirmed)));
    });
};

function intentFields(confirmed: ConfirmedIntent): ReadonlyArray<readonly [string, Cell]> {
  const {intent} = confirmed;
  const fields: Array<readonly [string, Cell]> = [
    ['id', intent.id],
    ['kind', intent.kind],
    ['subject', intentSubject(intent)],
  ];
  if (intent.kind === 'route') {
    fields.push(
      ['before', sharesText(confirmed.previousShares)],
      ['cap', `${formatShare(intent.maxMovedShare)} in ${intent.windowS} s`],
    );
  }
  return [
    ...fields,
    ['version', confirmed.version],
    ['confirmed by', confirmed.confirmedBy],
    ['confirmed at', formatTime(confirmed.confirmedAtMs)],
  ];
}
