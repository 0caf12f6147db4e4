/** `cuminsill status`: shows load, moves, drains and instances, once or periodically. */
import type {StatusReply} from '@cuminsill/types';
import type {Command} from 'commander';
import type {CommandContext, CommandRegistration} from '../command_context';
import {makeContext, printAnswer} from '../command_context';
import {CliError} from '../exit_codes';
import {parseSeconds} from '../global_options';
import {sharesText} from '../plan_text';
import {formatFields, formatShare, formatTable} from '../table';

interface StatusOptions {
  readonly watch: boolean;
  readonly intervalS: number;
}

/** Adds `status`. */
export const registerStatus: CommandRegistration = (parent, io) => {
  parent
    .command('status')
    .description('Shows load, moves, drains and instances.')
    .option('--watch', 'refresh the status until interrupted', false)
    .option('--interval-s <seconds>', 'time between two refreshes with --watch', parseSeconds, 2)
    .action(async (options: StatusOptions, command: Command) => {
      const context = makeContext(command, io);
      if (options.watch) await watchStatus(context, options.intervalS * 1000);
      else await printStatus(context);
    });
};

async function printStatus(context: CommandContext): Promise<void> {
  const status = await context.client.request<StatusReply>({method: 'GET', path: '/v1/status'});
  printAnswer(context, status, () => statusText(status));
}

/** Prints errors and continues, because servers may be restarted or replaced while the operator watches. */
async function watchStatus(context: CommandContext, intervalMs: number): Promise<void> {
  do {
    try {
      await printStatus(context);
    } catch (error) {
      if (!(error instanceof CliError)) throw error;
      context.io.printError(`${error.message}\n`);
    }
  } while (await context.io.sleep(intervalMs));
}

function statusText(status: StatusReply): string {
  const sections = [
    formatFields([
      ['answered by', status.answeredBy],
      ['version', status.configVersion],
      ['store reachable', status.storeReachable],
    ]),
    regionsText(status),
    movesText(status),
    drainsText(status),
    instancesText(status),
  ];
  return sections.filter(text => text !== '').join('\n');
}

function regionsText({regions}: StatusReply): string {
  if (regions.length === 0) return '';
  const headers = ['SERVICE', 'REGION', 'SLOTS', 'IN FLIGHT', 'QUEUED', 'TARGETS', 'DRAINING'];
  const rows = regions.map(region => [
    region.serviceId,
    region.regionId,
    region.slots,
    region.inFlight,
    region.queued,
    region.usableTargets,
    region.drainingTargets,
  ]);
  return formatTable(headers, rows);
}

function movesText({moves}: StatusReply): string {
  if (moves.length === 0) return '';
  const rows = moves.map(move => [
    move.intentId,
    move.serviceId,
    move.callerRegionId,
    sharesText(move.applied),
    sharesText(move.target),
    `${formatShare(move.maxMovedShare)} in ${move.windowS} s`,
  ]);
  return formatTable(['MOVE', 'SERVICE', 'CALLERS', 'NOW', 'TARGET', 'CAP'], rows);
}

function drainsText({drains}: StatusReply): string {
  if (drains.length === 0) return '';
  const rows = drains.map(drain => [drain.intentId, drain.siteId, drain.inFlight, drain.done]);
  return formatTable(['DRAIN', 'SITE', 'IN FLIGHT', 'DONE'], rows);
}

function instancesText({instances}: StatusReply): string {
  if (instances.length === 0) return '';
  const rows = instances.map(instance => [
    instance.instanceId,
    instance.regionId,
    instance.failureDomainId,
    instance.state,
    instance.reachability,
    instance.configVersion,
    instance.ageMs === undefined ? undefined : `${instance.ageMs} ms`,
  ]);
  const headers = ['INSTANCE', 'REGION', 'DOMAIN', 'STATE', 'REACHABLE', 'VERSION', 'AGE'];
  return formatTable(headers, rows);
}
