/**
 * Runs the demo on one deployment: puts the catalog and sends the deployment its expected demand. Meanwhile it moves
 * traffic between regions, drains and stops a site, and stops an entry. Afterwards it checks every promise of the
 * design page.
 */
import {mkdirSync} from 'node:fs';
import {setTimeout} from 'node:timers/promises';
import type {DeploymentName} from '@cuminsill/standins';
import type {Catalog, RouteIntent} from '@cuminsill/types';
import {makeLoadReport} from '../load_report';
import type {LoadReport} from '../load_report';
import {runLoad} from '../run_load';
import type {LoadResult} from '../run_load';
import {waitFor} from '../operator_client';
import {DemoFleet} from './demo_fleet';
import {promiseChecks} from './promise_checks';
import type {PromiseCheckResult} from './promise_checks';

/** Options of a demo run. */
export interface DemoOptions {
  /** Directory for settings files; created if missing. */
  readonly directory: string;
  readonly durationS: number;
  /** Fraction of the expected demand that is sent. */
  readonly demandFraction: number;
  readonly seed: number;
}

/** Result of the demo on one deployment. */
export interface DemoResult {
  readonly name: DeploymentName;
  readonly report: LoadReport;
  readonly checks: readonly PromiseCheckResult[];
}

const stepTimeoutMs = 20_000;
const rampUpS = 6; // targets start cold, and slow start opens only one slot at first
/** Delay of the steps after the start of the load; by then the slots that were handed over at the start are in use. */
const stepsStartMs = 6000;
/** The move starts earlier, because its ramp takes most of the duration of the load. */
const moveStartMs = 2000;
const maxTimeoutMs = 10_000; // bounds the wait for the last answers, so that the demo takes less than a minute

/** Runs the demo on one deployment. */
export async function runDemo(name: DeploymentName, options: DemoOptions): Promise<DemoResult> {
  mkdirSync(options.directory, {recursive: true});
  const fleet = await DemoFleet.start(name, options.directory);
  try {
    const {catalog} = fleet.deployment;
    const adoptionMs = await putCatalog(fleet);
    const move = makeMoveIntent(catalog);
    const [loadResult, ...steps] = await Promise.all([
      sendLoad(fleet, options),
      runStep('the move', moveStartMs, () => confirmMove(fleet, move)),
      runStep('the drain and stop of a site', stepsStartMs, () => drainAndStopSite(fleet)),
      runStep('the stop of an entry', stepsStartMs, () => stopLastEntry(fleet)),
    ]);
    const records = await fleet.fetchTargetRecords();
    const entryCount = fleet.entries.length;
    const {samples} = loadResult;
    const observations = {catalog, samples, records, move, entryCount, adoptionMs};
    return {
      name,
      report: makeLoadReport(loadResult, catalog),
      checks: [...promiseChecks.map(check => check(observations)), ...steps],
    };
  } finally {
    await fleet.stop();
  }
}

/** Runs a step after a delay. A failure becomes a check result, so that the promises are still checked. */
async function runStep(
  name: string,
  delayMs: number,
  step: () => Promise<void>,
): Promise<PromiseCheckResult> {
  try {
    await setTimeout(delayMs);
    await step();
    return {name: `${name} is done`, holds: true, detail: ''};
  } catch (error) {
    return {name: `${name} is done`, holds: false, detail: String(error)};
  }
}

/** Puts the catalog; returns the milliseconds from its confirmation until every instance has adopted it. */
async function putCatalog(fleet: DemoFleet): Promise<number> {
  const {catalog, instances} = fleet.deployment;
  const reply = await waitFor('the confirmation of the first catalog', stepTimeoutMs, () =>
    fleet.operatorClient(0).planAndConfirm({action: 'put-catalog', catalog}),
  );
  const confirmedAtMs = performance.now();
  await waitFor('the adoption of the catalog by all instances', stepTimeoutMs, async () => {
    const status = await fleet.operatorClient(0).fetchStatus();
    const adoptedInstances = status.instances.filter(
      instance => instance.configVersion >= reply.configVersion,
    );
    return adoptedInstances.length === instances.length ? true : undefined;
  });
  return performance.now() - confirmedAtMs;
}

function sendLoad(fleet: DemoFleet, options: DemoOptions): Promise<LoadResult> {
  const {catalog, instances} = fleet.deployment;
  return runLoad({
    catalog,
    lookupAddresses: instances.map(instance => instance.callerAddress),
    ratePerS:
      options.demandFraction *
      catalog.demands.reduce((total, demand) => total + demand.requestsPerS, 0),
    durationS: options.durationS,
    maxRequests: 200_000,
    maxInFlight: 5000,
    callersPerRegion: 10,
    seed: options.seed,
    rampUpS,
    maxTimeoutMs,
  });
}

/**
 * Moves half of the requests of one region's callers to another region. That is more than the cap allows at once: the
 * ramp moves half the cap in each window and takes 13 s.
 */
function makeMoveIntent(catalog: Catalog): RouteIntent {
  const service = catalog.services.find(
    ({trafficClass, idempotency}) => trafficClass === 'interactive' && idempotency === 'idempotent',
  );
  const [from, to] = catalog.regions;
  if (service === undefined || from === undefined || to === undefined) {
    throw new Error('the catalog has no interactive idempotent service or only one region');
  }
  return {
    kind: 'route',
    id: 'demo-move',
    serviceId: service.id,
    callerRegionId: from.id,
    shares: [
      {regionId: from.id, share: 0.5},
      {regionId: to.id, share: 0.5},
    ],
    maxMovedShare: 0.3,
    windowS: 4,
  };
}

async function confirmMove(fleet: DemoFleet, move: RouteIntent): Promise<void> {
  await waitFor('the confirmation of the move', stepTimeoutMs, () =>
    fleet.operatorClient(1).planAndConfirm({action: 'put', intent: move}),
  );
}

/** Drains a site in a region that is not part of the move, and stops the site's targets when the drain is done. */
async function drainAndStopSite(fleet: DemoFleet): Promise<void> {
  const {catalog} = fleet.deployment;
  const regionId = catalog.regions[2]?.id;
  const siteId = catalog.targets.find(target => target.regionId === regionId)?.siteId ?? '';
  const intent = {kind: 'stop', id: `drain-${siteId}`, siteId} as const;
  await waitFor('the confirmation of the drain', stepTimeoutMs, () =>
    fleet.operatorClient(2).planAndConfirm({action: 'put', intent}),
  );
  const targets = catalog.targets.filter(target => target.siteId === siteId);
  await Promise.all(targets.map(target => fleet.setTargetMode(target.id, {state: 'leaving'})));
  await waitFor('the end of the drain', stepTimeoutMs, async () => {
    const status = await fleet.operatorClient(2).fetchStatus();
    return status.drains.some(drain => drain.siteId === siteId && drain.done) ? true : undefined;
  });
  await Promise.all(targets.map(target => fleet.setTargetMode(target.id, {state: 'stopped'})));
}

async function stopLastEntry(fleet: DemoFleet): Promise<void> {
  const entry = fleet.entries[fleet.entries.length - 1];
  const exitedGracefully = (await entry?.stop()) ?? false;
  if (!exitedGracefully) throw new Error('the entry did not exit after SIGTERM and was killed');
}
