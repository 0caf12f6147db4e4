/** `cuminsill intent list`: shows the intents in force. */
import type {ConfirmedIntent, Intent} from '@cuminsill/types';
import type {Command} from 'commander';
import type {ApiClient} from '../api_client';
import type {CommandRegistration} from '../command_context';
import {makeContext, printAnswer} from '../command_context';
import {sharesText} from '../plan_text';
import {formatTable, formatTime} from '../table';

/** Response body of `GET /v1/intents`. */
export interface IntentList {
  readonly configVersion: number;
  readonly intents: readonly ConfirmedIntent[];
}

type SubjectTexts = {
  readonly [Kind in Intent['kind']]: (intent: Extract<Intent, {readonly kind: Kind}>) => string;
};

const subjectTexts: SubjectTexts = {
  route: intent =>
    `${intent.serviceId} from ${intent.callerRegionId} to ${sharesText(intent.shares)}`,
  drain: intent => `site ${intent.siteId}`,
  stop: intent => `site ${intent.siteId}`,
};

/** Describes in one line which traffic or site an intent concerns. */
export function intentSubject(intent: Intent): string {
  return (subjectTexts[intent.kind] as (intent: Intent) => string)(intent);
}

/** Requests the intents in force. */
export function fetchIntents(client: ApiClient): Promise<IntentList> {
  return client.request<IntentList>({method: 'GET', path: '/v1/intents'});
}

/** Adds `intent list`. */
export const registerIntentList: CommandRegistration = (parent, io) => {
  parent
    .command('list')
    .description('Shows the intents in force.')
    .action(async (_options: object, command: Command) => {
      const context = makeContext(command, io);
      const list = await fetchIntents(context.client);
      printAnswer(context, list, () => intentListText(list));
    });
};

function intentListText(list: IntentList): string {
  if (list.intents.length === 0) return `no intents; configuration version ${list.configVersion}\n`;
  const rows = list.intents.map(entry => [
    entry.intent.id,
    entry.intent.kind,
    intentSubject(entry.intent),
    entry.version,
    entry.confirmedBy,
    formatTime(entry.confirmedAtMs),
  ]);
  const headers = ['ID', 'KIND', 'SUBJECT', 'VERSION', 'CONFIRMED BY', 'CONFIRMED AT'];
  return formatTable(headers, rows);
}
