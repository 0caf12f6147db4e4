/** `cuminsill explain <request id>`: explains why a request was refused. */
import type {ExplainReply} from '@cuminsill/types';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {makeContext, printAnswer} from '../command_context';
import {formatFields, formatTime} from '../table';

/** Adds `explain`. */
export const registerExplain: CommandRegistration = (parent, io) => {
  parent
    .command('explain <request-id>')
    .description('Explains why a request was refused.')
    .action(async (requestId: string, _options: object, command: Command) => {
      const context = makeContext(command, io);
      const path = `/v1/explain/${encodeURIComponent(requestId)}`;
      const reply = await context.client.request<ExplainReply>({method: 'GET', path});
      printAnswer(context, reply, () =>
        formatFields([
          ['request', reply.requestId],
          ['result', `${reply.code} ${reply.name}`],
          ['outcome', reply.outcome],
          ['reason', reply.reason],
          ['detail', reply.detail],
          ['at', formatTime(reply.atMs)],
          ['service', reply.serviceId],
          ['instance', reply.instanceId],
          ['version', reply.configVersion],
          ['source', reply.source],
        ]),
      );
    });
};
