/**
 * One run of the demo on one deployment: put the catalog, load it with its expected demand, and meanwhile move
 * traffic between regions, drain and stop a site, and stop an entry. Afterwards check every promise.
 */
import {mkdirSync} from 'node:fs';
import {setTimeout} from 'node:timers/promises';
import type {DeploymentName} from '@cuminsill/standins';
import type {Catalog, RouteIntent} from '@cuminsill/types';
import {makeLoadReport} from '../load_report';
import type {LoadReport} from '../load_report';
import {runLoad} from '../load_run';
import type {LoadOutcome} from '../load_run';
import {waitFor} from '../operators_client';
import {DemoFleet} from './demo_fleet';
import {promiseChecks} from './promise_checks';
import type {PromiseCheck} from './promise_checks';

/** Options of the demo. */
export interface DemoOptions {
  readonly directory: string;
  readonly durationS: number;
  /** Part of the expected demand that is sent. */
  readonly rateShare: number;
  readonly seed: number;
}

/** Result on one deployment. */
export interface DemoResult {
  readonly name: DeploymentName;
  readonly report: LoadReport;
  readonly checks: readonly PromiseCheck[];
}

const stepLimitMs = 20_000;
const rampUpS = 6; // targets start cold and with one slot
/** Start of the steps after the start of the load; slots that were handed over at the start are in use by then. */
const stepsAfterMs = 6000;
/** The move starts earlier, because its ramp takes most of the load's time. */
const moveAfterMs = 2000;
const maxTimeoutMs = 10_000; // bounds the end of the load, so that the demo takes less than a minute

/** Runs the demo on one deployment. */
export async function runDemo(name: DeploymentName, options: DemoOptions): Promise<DemoResult> {
  mkdirSync(options.directory, {recursive: true});
  const fleet = await DemoFleet.start(name, options.directory);
  try {
    const {catalog} = fleet.deployment;
    const adoptionMs = await putCatalog(fleet);
    const move = makeMove(catalog);
    const [outcome, ...steps] = await Promise.all([
      load(fleet, options),
      runStep('the move', moveAfterMs, () => confirmMove(fleet, move)),
      runStep('the drain and stop of a site', stepsAfterMs, () => drainAndStopSite(fleet)),
      runStep('the stop of an entry', stepsAfterMs, () => stopLastEntry(fleet)),
    ]);
    const records = await fleet.targetRecords();
    const entryCount = fleet.entries.length;
    const {samples} = outcome;
    const evidence = {catalog, samples, records, move, entryCount, adoptionMs};
    return {
      name,
      report: makeLoadReport(outcome, catalog),
      checks: [...promiseChecks.map(check => check(evidence)), ...steps],
    };
  } finally {
    await fleet.stop();
  }
}

/** A step that fails must not hide what the checks find. */
async function runStep(
  name: string,
  afterMs: number,
  step: () => Promise<void>,
): Promise<PromiseCheck> {
  try {
    await setTimeout(afterMs);
    await step();
    return {name: `${name} is done`, holds: true, detail: ''};
  } catch (error) {
    return {name: `${name} is done`, holds: false, detail: String(error)};
  }
}

/** Puts the catalog into force; returns the milliseconds until every instance has it. */
async function putCatalog(fleet: DemoFleet): Promise<number> {
  const {catalog, instances} = fleet.deployment;
  const reply = await waitFor('the first catalog', stepLimitMs, () =>
    fleet.operators(0).change({action: 'put-catalog', catalog}),
  );
  const confirmedAtMs = performance.now();
  await waitFor('the catalog in force everywhere', stepLimitMs, async () => {
    const status = await fleet.operators(0).status();
    const adopted = status.instances.filter(
      instance => instance.configVersion >= reply.configVersion,
    );
    return adopted.length === instances.length ? true : undefined;
  });
  return performance.now() - confirmedAtMs;
}

function load(fleet: DemoFleet, options: DemoOptions): Promise<LoadOutcome> {
  const {catalog, instances} = fleet.deployment;
  return runLoad({
    catalog,
    lookupAddresses: instances.map(instance => instance.callerAddress),
    ratePerS:
      options.rateShare * catalog.demands.reduce((total, demand) => total + demand.requestsPerS, 0),
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
 * Moves half of the callers' requests of one region, more than the cap allows at once: at half the cap in
 * each window the ramp takes 13 s.
 */
function makeMove(catalog: Catalog): RouteIntent {
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
  await waitFor('the confirmed move', stepLimitMs, () =>
    fleet.operators(1).change({action: 'put', intent: move}),
  );
}

/** Drains a site of the region that takes no part in the move, and stops its targets when it is done. */
async function drainAndStopSite(fleet: DemoFleet): Promise<void> {
  const {catalog} = fleet.deployment;
  const regionId = catalog.regions[2]?.id;
  const siteId = catalog.targets.find(target => target.regionId === regionId)?.siteId ?? '';
  const intent = {kind: 'stop', id: `drain-${siteId}`, siteId} as const;
  await waitFor('the confirmed drain', stepLimitMs, () =>
    fleet.operators(2).change({action: 'put', intent}),
  );
  const targets = catalog.targets.filter(target => target.siteId === siteId);
  await Promise.all(targets.map(target => fleet.setTargetMode(target.id, {state: 'leaving'})));
  await waitFor('the end of the drain', stepLimitMs, async () => {
    const status = await fleet.operators(2).status();
    return status.drains.some(drain => drain.siteId === siteId && drain.done) ? true : undefined;
  });
  await Promise.all(targets.map(target => fleet.setTargetMode(target.id, {state: 'stopped'})));
}

async function stopLastEntry(fleet: DemoFleet): Promise<void> {
  const entry = fleet.entries[fleet.entries.length - 1];
  const graceful = (await entry?.stop()) ?? false;
  if (!graceful) throw new Error('the stopped entry did not end by itself');
}
