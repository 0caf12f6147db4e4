/** Faults of targets: what each kind does, and how it is reverted. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {AnswerMode, EndpointServer} from '@cuminsill/standins';
import {pickFrom} from './fault_handler';
import type {PlannedFault} from './fault_plan';
import type {SoakDeployment} from './soak_deployment';
import type {SoakTarget} from './target_fleet';
import {coldMs} from './target_fleet';

/** The record of a crashed target stays in the store for this long, in milliseconds. */
const crashedRecordMs = 1_500;
/** A leaving target keeps serving for this long after the store has recorded its departure, in milliseconds. */
const servingAfterLeaveMs = 4_500;
/** Time between the removal of a target's record and the reuse of its address, in milliseconds. */
const addressReuseDelayMs = 2_000;
const maxBrokenAnswers = 12;
const minTargetsPerService = 2;
/** A target names its limit for at least this long, in milliseconds, as the rule counts in windows of four seconds. */
const minLimitMs = 6_000;
const minLimitPerS = 1;
/** Added to the lowest limit at full strength. */
const limitRangePerS = 4;
/** Longer than a leaving target may get requests, in milliseconds, so that later ones are seen. */
const leavingAnswersMs = 6_000;
const minPauseS = 2;
/** Added to the shortest pause at full strength. */
const pauseRangeS = 4;

/** Picks a target that may be ended: enough targets of its service remain, and it is not leaving already. */
function pickTarget({fleet}: SoakDeployment, {selector}: PlannedFault): SoakTarget | undefined {
  const stayingTargets = fleet.targets.filter(({isLeaving}) => !isLeaving);
  const removable = stayingTargets.filter(
    ({service}) =>
      stayingTargets.filter(other => other.service === service).length > minTargetsPerService,
  );
  return pickFrom(removable, selector);
}

/** Picks a target for a fault that ends it, and marks it as leaving; undefined when no target may be ended. */
function reserveTarget(
  deployment: SoakDeployment,
  fault: PlannedFault,
  planned: boolean,
): {readonly target: SoakTarget; readonly endDisruption: () => void} | undefined {
  const target = pickTarget(deployment, fault);
  if (target === undefined) return undefined;
  target.isLeaving = true;
  return {target, endDisruption: deployment.beginDisruption(target.id, fault.kind, planned)};
}

/** Crashes a target without notice, and starts it again. */
export async function crashTarget(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const reserved = reserveTarget(deployment, fault, false);
  if (reserved === undefined) return;
  const {target, endDisruption} = reserved;
  deployment.fleet.crash(target);
  await sleep(fault.durationMs);
  await deployment.fleet.startTarget(target, coldMs);
  target.isLeaving = false;
  endDisruption();
}

/** Takes a target out of service, which serves on for a time, and adds another one in its place. */
export async function replaceTarget(
  deployment: SoakDeployment,
  fault: PlannedFault,
  announcement: 'announced' | 'unannounced',
): Promise<void> {
  const reserved = reserveTarget(deployment, fault, true);
  if (reserved === undefined) return;
  const {target, endDisruption} = reserved;
  const {fleet} = deployment;
  if (announcement === 'announced') fleet.drain(target);
  else fleet.removeRecord(target);
  await sleep(servingAfterLeaveMs);
  fleet.removeRecord(target);
  fleet.remove(target);
  endDisruption();
  await fleet.add(target.service, target.location.failureDomain, coldMs);
}

/** Crashes a target permanently, and starts a target of another service at the same address. */
export async function reuseAddress(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const reserved = reserveTarget(deployment, fault, false);
  if (reserved === undefined) return;
  const {target, endDisruption} = reserved;
  const {fleet} = deployment;
  fleet.crash(target);
  await sleep(crashedRecordMs);
  fleet.removeRecord(target);
  await sleep(addressReuseDelayMs);
  fleet.remove(target);
  const otherServices = fleet.services().filter(service => service !== target.service);
  await fleet.addAtLocation(
    target.location,
    pickFrom(otherServices, fault.strength) ?? target.service,
    coldMs,
  );
  endDisruption();
}

/** Adds a target to a service. */
export async function joinTarget(
  deployment: SoakDeployment,
  {selector}: PlannedFault,
): Promise<void> {
  const service = pickFrom(deployment.fleet.services(), selector) ?? 'pages';
  const failureDomain = deployment.failureDomainOf(deployment.fleet.targets.length);
  await deployment.fleet.add(service, failureDomain, coldMs);
}

const brokenAnswerModes: readonly AnswerMode[] = [
  'shed',
  'failing',
  'lost',
  'silent',
  'cut',
  'unframed-cut',
  'extra',
  'early',
];

/** Makes a target answer its next requests wrongly. */
export function breakAnswers(
  deployment: SoakDeployment,
  {kind, selector, strength}: PlannedFault,
): Promise<void> {
  const target = pickFrom(deployment.fleet.targets, selector);
  const endDisruption = deployment.beginDisruption(target?.id ?? '', kind);
  const mode = pickFrom(brokenAnswerModes, (strength * maxBrokenAnswers) % 1) ?? 'lost';
  const count = Math.ceil(strength * maxBrokenAnswers);
  target?.nextAnswerModes.push(...Array.from({length: count}, () => mode));
  endDisruption();
  return Promise.resolve();
}

/** Makes a target name a limit on its requests for some time. */
export async function limitTarget(
  deployment: SoakDeployment,
  {selector, strength, durationMs}: PlannedFault,
): Promise<void> {
  const server = pickFrom(deployment.fleet.targets, selector)?.server;
  if (server === undefined || server.limitPerS !== undefined) return;
  const requestsPerS = Math.round((minLimitPerS + strength * limitRangePerS) * 10) / 10;
  const fromMs = deployment.nowMs();
  server.limitPerS = requestsPerS;
  await sleep(minLimitMs + durationMs);
  server.limitPerS = undefined;
  const {id: targetId} = server.options;
  const untilMs = deployment.nowMs();
  deployment.recorder.limits.push({targetId, requestsPerS, fromMs, untilMs});
}

/** Makes a target say that it leaves, while the store lists it as before, and then replaces it. */
export async function leaveInAnswers(
  deployment: SoakDeployment,
  fault: PlannedFault,
): Promise<void> {
  const reserved = reserveTarget(deployment, fault, true);
  if (reserved === undefined) return;
  const {target, endDisruption} = reserved;
  const {fleet, recorder} = deployment;
  const fromMs = deployment.nowMs();
  if (target.server !== undefined) target.server.leaving = true;
  await sleep(leavingAnswersMs);
  const untilMs = deployment.nowMs();
  recorder.directives.push({targetId: target.id, kind: 'leaving', pauseMs: 0, fromMs, untilMs});
  fleet.removeRecord(target);
  await sleep(servingAfterLeaveMs);
  fleet.remove(target);
  endDisruption();
  await fleet.add(target.service, target.location.failureDomain, coldMs);
}

/** Makes a target reject all requests for a time and ask for a pause each time. */
export async function askForPause(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const reserved = reserveTarget(deployment, fault, true);
  if (reserved === undefined) return;
  const {target, endDisruption} = reserved;
  if (target.server !== undefined) await rejectRequests(deployment, target.server, fault);
  target.isLeaving = false;
  endDisruption();
}

async function rejectRequests(
  deployment: SoakDeployment,
  server: EndpointServer,
  {strength, durationMs}: PlannedFault,
): Promise<void> {
  const pauseS = Math.ceil(minPauseS + strength * pauseRangeS);
  const pauseMs = pauseS * 1_000;
  const fromMs = deployment.nowMs();
  server.mode = 'shed';
  server.retryAfter = String(pauseS);
  await sleep(pauseMs + durationMs);
  server.mode = 'normal';
  server.retryAfter = undefined;
  const {id: targetId} = server.options;
  const untilMs = deployment.nowMs();
  deployment.recorder.directives.push({targetId, kind: 'pause', pauseMs, fromMs, untilMs});
}
