/** `cuminsill gateway losses`: tells from the logs of gateways which requests were lost or late, and why. */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import type {LossCounts, LossReport, LossWindow} from '@cuminsill/gateway';
import {LossCollector} from '@cuminsill/gateway';
import type {Command} from 'commander';
import {InvalidArgumentError} from 'commander';
import type {CommandRegistration} from '../command_context';
import {printAnswer} from '../command_context';
import {CliError, exitCodes} from '../exit_codes';
import type {GlobalOptions} from '../global_options';
import {formatTable} from '../table';

interface GatewayLossesOptions {
  readonly log: readonly string[];
  readonly windowS: number;
}

const defaultWindowS = 2;
const millisecondsPerSecond = 1_000;
const shownReasons = 3;

/** Adds `gateway losses`. */
export const registerGatewayLosses: CommandRegistration = (parent, io) => {
  parent
    .command('losses')
    .description('Tells from the logs of gateways which requests were lost or late, and why.')
    .requiredOption('--log <file...>', 'logs of one or several gateways')
    .option('--window-s <seconds>', 'length of a window of time', parseWindowS, defaultWindowS)
    .action(async ({log, windowS}: GatewayLossesOptions, command: Command) => {
      const collector = new LossCollector(windowS * millisecondsPerSecond);
      for (const file of log) await readLines(file, collector);
      const report = collector.report();
      if (report.total.requests === 0) {
        throw new CliError(exitCodes.refused, `no lines about requests in ${log.join(', ')}`);
      }
      const {output} = command.optsWithGlobals<GlobalOptions>();
      printAnswer({io, output}, report, () => reportText(report));
    });
};

function parseWindowS(text: string): number {
  const seconds = Number(text);
  if (!(seconds > 0 && Number.isFinite(seconds))) {
    throw new InvalidArgumentError('must be a number of seconds above 0');
  }
  return seconds;
}

async function readLines(file: string, collector: LossCollector): Promise<void> {
  try {
    const lines = createInterface({input: createReadStream(file), crlfDelay: Infinity});
    for await (const line of lines) collector.addLine(line);
  } catch (error) {
    throw new CliError(exitCodes.usage, `cannot read ${file}: ${(error as Error).message}`);
  }
}

function reportText(report: LossReport): string {
  const {total, byService, byGateway, worstWindows, unreadableLines, missingLines} = report;
  const reasons = Object.entries(total.byReason).sort(([, left], [, right]) => right - left);
  return [
    `${total.requests} logged requests; ${missingLines} lines were not written, ${unreadableLines} not readable\n`,
    formatTable(
      ['reason', 'requests', 'percent'],
      reasons.map(([reason, count]) => [reason, count, percentOf(count, total.requests)]),
    ),
    countsTable('service', byService),
    countsTable('gateway', byGateway),
    formatTable(
      ['worst windows from', 'logged', 'lost percent', 'reasons', 'events'],
      worstWindows.map(windowRow),
    ),
  ].join('\n');
}

function countsTable(title: string, counts: Readonly<Record<string, LossCounts>>): string {
  const rows = Object.entries(counts).map(([name, {requests, byKind, byReason}]) => [
    name,
    requests,
    byKind.refused ?? 0,
    byKind.failed ?? 0,
    byKind.late ?? 0,
    mostFrequent(byReason),
  ]);
  return formatTable([title, 'logged', 'refused', 'failed', 'late', 'reasons'], rows);
}

function windowRow({
  from,
  requests,
  byKind,
  byReason,
  events,
}: LossWindow): readonly (string | number)[] {
  const lost = Object.values(byKind).reduce((sum, count) => sum + count, 0);
  return [from, requests, percentOf(lost, requests), mostFrequent(byReason), mostFrequent(events)];
}

function percentOf(count: number, total: number): number {
  return Math.round((1_000 * count) / Math.max(1, total)) / 10;
}

function mostFrequent(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .sort(([, left], [, right]) => right - left)
    .slice(0, shownReasons)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}
