/** `cuminsill gateway status <host:port>`: shows the state that a running gateway works with, and its age. */
import type {GatewayStatus} from '@cuminsill/gateway';
import type {SocketAddress} from '@cuminsill/types';
import type {Command} from 'commander';
import type {CommandRegistration} from '../command_context';
import {printAnswer} from '../command_context';
import {CliError, exitCodes} from '../exit_codes';
import type {GlobalOptions} from '../global_options';
import {parseServer} from '../global_options';
import {formatFields, formatShare, formatTable} from '../table';

/** Adds `gateway status`. */
export const registerGatewayStatus: CommandRegistration = (parent, io) => {
  parent
    .command('status')
    .argument(
      '<host:port>',
      'address of the status page, listen.metrics of the settings',
      parseServer,
    )
    .description('Shows routes, targets, evacuations and their ages at one gateway.')
    .action(async (address: SocketAddress, _options: object, command: Command) => {
      const {output, timeoutS} = command.optsWithGlobals<GlobalOptions>();
      const status = await fetchStatus(address, timeoutS * 1000);
      printAnswer({io, output}, status, () => statusText(status));
    });
};

async function fetchStatus({host, port}: SocketAddress, timeoutMs: number): Promise<GatewayStatus> {
  const url = `http://${host}:${port}/status`;
  try {
    const response = await fetch(url, {signal: AbortSignal.timeout(timeoutMs)});
    return (await response.json()) as GatewayStatus;
  } catch (error) {
    const {cause, message} = error as Error;
    const reason = cause instanceof Error ? cause.message : message;
    throw new CliError(exitCodes.unreachable, `no status at ${url}: ${reason}`);
  }
}

function statusText(status: GatewayStatus): string {
  const sections = [
    formatFields([
      ['gateway', status.gateway],
      ['version', status.configVersion],
      ['gateways in use', status.gateways.length],
      ['evacuated', status.evacuatedDomains.join(', ') || 'none'],
    ]),
    feedsText(status),
    routesText(status),
    targetsText(status),
    retriesText(status),
  ];
  return sections.filter(text => text !== '').join('\n');
}

function feedsText({feeds}: GatewayStatus): string {
  const rows = feeds.map(({kind, ageMs}) => [
    kind,
    ageMs === undefined ? 'never read' : `${Math.round(ageMs)} ms`,
  ]);
  return formatTable(['FROM THE STORE', 'AGE'], rows);
}

function routesText({routes}: GatewayStatus): string {
  if (routes.length === 0) return '';
  const rows = routes.map(route => [
    route.name,
    `${route.host}${route.pathPrefix}`,
    route.repeat,
    serviceText(route.services),
    route.timeoutMs === undefined ? undefined : `${route.timeoutMs} ms`,
    route.maxTargets,
  ]);
  return formatTable(['ROUTE', 'PREFIX', 'REPEAT', 'SERVICES', 'TIME-OUT', 'TARGETS'], rows);
}

function serviceText(services: GatewayStatus['routes'][number]['services']): string {
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  const share = (weight: number) => (services.length > 1 ? ` ${formatShare(weight / total)}` : '');
  return services.map(({service, weight}) => `${service}${share(weight)}`).join(', ');
}

function targetsText({targets}: GatewayStatus): string {
  if (targets.length === 0) return '';
  const rows = targets.map(target => [
    target.id,
    target.service,
    target.failureDomain,
    target.state,
    target.inFlight,
    target.estimatedLoad,
    formatShare(target.failureRate),
    target.slowness,
  ]);
  const headers = ['TARGET', 'SERVICE', 'DOMAIN', 'STATE', 'OWN', 'LOAD', 'FAILS', 'SLOWNESS'];
  return formatTable(headers, rows);
}

function retriesText({retries}: GatewayStatus): string {
  if (retries.length === 0) return '';
  const rows = retries.map(({service, earned, slackLeft}) => [service, earned, slackLeft]);
  return formatTable(['RETRIES FOR', 'EARNED', 'SLACK LEFT'], rows);
}
