/** Injects one planned fault: what each kind does, and how it is reverted. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {AnswerMode, EndpointServer, ObjectStoreFault} from '@cuminsill/standins';
import {noObjectStoreFault} from '@cuminsill/standins';
import type {FaultKind, PlannedFault} from './fault_plan';
import type {FaultProxy, LinkState} from './fault_proxy';
import {healthyLink} from './fault_proxy';
import type {GatewayProcess} from './gateway_process';
import type {SoakDeployment} from './soak_deployment';
import {regionByFailureDomain} from './soak_deployment';
import type {SoakTarget} from './target_fleet';
import {coldMs} from './target_fleet';

type FaultHandler = (deployment: SoakDeployment, fault: PlannedFault) => Promise<void>;

/** The record of a crashed target stays in the store for this long, in milliseconds. */
const crashedRecordMs = 1_500;
/** A leaving target keeps serving for this long after the store has recorded its departure, in milliseconds. */
const servingAfterLeaveMs = 4_500;
/** Time between the removal of a target's record and the reuse of its address, in milliseconds. */
const addressReuseDelayMs = 2_000;
const reloadsPerFault = 3;
const reloadGapMs = 40;
const maxLinkDelayMs = 300;
const maxStoreDelayMs = 1_500;
const maxBrokenAnswers = 12;
const minTargetsPerService = 2;
/** A target names its limit for at least this long, in milliseconds, as the rule counts in windows of four seconds. */
const minLimitMs = 6_000;
/** Longer than a leaving target may get requests, in milliseconds, so that later ones are seen. */
const leavingAnswersMs = 6_000;
const minPauseS = 2;
/** Added to the shortest pause at full strength. */
const pauseRangeS = 4;
const minLimitPerS = 1;
/** Added to the lowest limit at full strength. */
const limitRangePerS = 4;

const faultHandlers: Readonly<Record<FaultKind, FaultHandler>> = {
  'delay-link': (deployment, fault) =>
    disturbLink(deployment, fault, {...healthyLink, delayMs: 20 + fault.strength * maxLinkDelayMs}),
  'reset-link': (deployment, fault) => resetLink(deployment, fault),
  'cut-link-forward': (deployment, fault) =>
    disturbLink(deployment, fault, {...healthyLink, passesForward: false}),
  'cut-link-back': (deployment, fault) =>
    disturbLink(deployment, fault, {...healthyLink, passesBack: false}),
  'silence-link': (deployment, fault) =>
    disturbLink(deployment, fault, {...healthyLink, passesForward: false, passesBack: false}),
  'kill-gateway': (deployment, fault) =>
    killGateways(deployment, fault, [pickGateway(deployment, fault)]),
  'kill-all-gateways': (deployment, fault) => killGateways(deployment, fault, deployment.gateways),
  'pause-gateway': pauseGateway,
  'stop-gateway': stopGateway,
  'reload-gateway': reloadGateway,
  'step-clock': stepClock,
  'store-busy': (deployment, fault) => disturbStore(deployment, fault, {mode: 'busy'}),
  'store-limits-rate': (deployment, fault) =>
    disturbStore(deployment, fault, {mode: 'rate-limited'}),
  'store-resets': (deployment, fault) => disturbStore(deployment, fault, {mode: 'reset'}),
  'store-silent': (deployment, fault) => disturbStore(deployment, fault, {mode: 'silent'}),
  'store-slow': (deployment, fault) =>
    disturbStore(deployment, fault, {delayMs: fault.strength * maxStoreDelayMs}),
  'store-loses-answers': (deployment, fault) =>
    disturbStore(deployment, fault, {losesWriteAnswers: true}),
  'store-forgets-history': dropStoreHistory,
  'crash-target': crashTarget,
  'drain-target': (deployment, fault) => replaceTarget(deployment, fault, 'announced'),
  'remove-target': (deployment, fault) => replaceTarget(deployment, fault, 'unannounced'),
  'reuse-address': reuseAddress,
  'join-target': joinTarget,
  'break-answers': breakAnswers,
  'limit-target': limitTarget,
  'leave-in-answers': leaveInAnswers,
  'ask-for-pause': askForPause,
  configure: changeConfiguration,
  evacuate: evacuateFailureDomain,
};

/** Injects the fault; resolves when the fault is over. */
export function injectFault(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  return faultHandlers[fault.kind](deployment, fault);
}

function pickFrom<Item>(items: readonly Item[], fraction: number): Item | undefined {
  return items[Math.floor(fraction * items.length)];
}

function pickGateway({gateways}: SoakDeployment, {selector}: PlannedFault): GatewayProcess {
  const gateway = pickFrom(gateways, selector);
  if (gateway === undefined) throw new Error('the run has no gateways');
  return gateway;
}

/** Picks a target that may be ended: enough targets of its service remain, and it is not leaving already. */
function pickTarget({fleet}: SoakDeployment, {selector}: PlannedFault): SoakTarget | undefined {
  const stayingTargets = fleet.targets.filter(({isLeaving}) => !isLeaving);
  const removable = stayingTargets.filter(
    ({service}) =>
      stayingTargets.filter(other => other.service === service).length > minTargetsPerService,
  );
  return pickFrom(removable, selector);
}

interface PickedLink {
  readonly link: FaultProxy;
  readonly subject: string;
}

function pickLink(deployment: SoakDeployment, {selector}: PlannedFault): PickedLink {
  const links = [
    ...deployment.gateways.flatMap(({name, callerLink, storeLink}) => [
      {link: callerLink, subject: name},
      {link: storeLink, subject: name},
    ]),
    ...deployment.fleet.targets.map(({id, location}) => ({link: location.link, subject: id})),
  ];
  const picked = pickFrom(links, selector);
  if (picked === undefined) throw new Error('the run has no links');
  return picked;
}

async function disturbLink(
  deployment: SoakDeployment,
  fault: PlannedFault,
  state: LinkState,
): Promise<void> {
  const {link, subject} = pickLink(deployment, fault);
  const endDisruption = deployment.beginDisruption(subject, fault.kind);
  link.setState(state);
  await sleep(fault.durationMs);
  link.setState(healthyLink);
  endDisruption();
}

function resetLink(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const {link, subject} = pickLink(deployment, fault);
  const endDisruption = deployment.beginDisruption(subject, fault.kind);
  link.resetConnections();
  endDisruption();
  return Promise.resolve();
}

async function killGateways(
  deployment: SoakDeployment,
  {kind, durationMs}: PlannedFault,
  gateways: readonly GatewayProcess[],
): Promise<void> {
  const running = gateways.filter(({isRunning}) => isRunning);
  const endDisruptions = running.map(({name}) => deployment.beginDisruption(name, kind));
  await Promise.all(running.map(gateway => gateway.kill()));
  await sleep(durationMs);
  for (const gateway of running) gateway.start();
  for (const endDisruption of endDisruptions) endDisruption();
}

async function pauseGateway(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(deployment, fault);
  const endDisruption = deployment.beginDisruption(gateway.name, fault.kind);
  gateway.signal('SIGSTOP');
  await sleep(fault.durationMs);
  gateway.signal('SIGCONT');
  endDisruption();
}

async function stopGateway(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(deployment, fault);
  if (!gateway.isRunning) return;
  const endDisruption = deployment.beginDisruption(gateway.name, fault.kind, true);
  await gateway.stop();
  await sleep(fault.durationMs);
  gateway.start();
  endDisruption();
}

async function reloadGateway(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(deployment, fault);
  // SIGHUP ends a process that has not yet installed its handler.
  if (!(await gateway.isReady())) return;
  const endDisruption = deployment.beginDisruption(gateway.name, fault.kind, true);
  for (let sent = 0; sent < reloadsPerFault; sent += 1) {
    gateway.signal('SIGHUP');
    await sleep(reloadGapMs);
  }
  endDisruption();
}

async function stepClock(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(deployment, fault);
  if (!(await gateway.isReady())) return;
  const endDisruption = deployment.beginDisruption(gateway.name, fault.kind);
  gateway.signal('SIGUSR2');
  await sleep(fault.durationMs);
  endDisruption();
}

async function disturbStore(
  deployment: SoakDeployment,
  {kind, durationMs}: PlannedFault,
  trouble: Partial<ObjectStoreFault>,
): Promise<void> {
  const endDisruption = deployment.beginDisruption('store', kind);
  deployment.store.fault = {...noObjectStoreFault, ...trouble};
  if (trouble.mode === 'reset') deployment.store.cutConnections();
  await sleep(durationMs);
  deployment.store.fault = noObjectStoreFault;
  endDisruption();
}

function dropStoreHistory(deployment: SoakDeployment, {kind}: PlannedFault): Promise<void> {
  const endDisruption = deployment.beginDisruption('store', kind);
  deployment.store.table.dropHistory();
  endDisruption();
  return Promise.resolve();
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

async function crashTarget(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const reserved = reserveTarget(deployment, fault, false);
  if (reserved === undefined) return;
  const {target, endDisruption} = reserved;
  deployment.fleet.crash(target);
  await sleep(fault.durationMs);
  await deployment.fleet.startTarget(target, coldMs);
  target.isLeaving = false;
  endDisruption();
}

async function replaceTarget(
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
async function reuseAddress(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
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

async function joinTarget(deployment: SoakDeployment, {selector}: PlannedFault): Promise<void> {
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

function breakAnswers(
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

async function limitTarget(
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
async function leaveInAnswers(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
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
async function askForPause(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
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

function changeConfiguration(
  deployment: SoakDeployment,
  {selector, strength}: PlannedFault,
): Promise<void> {
  const {sendService, hasNewRoute} = deployment.routeVariant;
  deployment.configure({
    sendService: selector < 0.5 ? sendService : sendService === 'files' ? 'orders' : 'files',
    hasNewRoute: strength < 0.5 ? hasNewRoute : !hasNewRoute,
  });
  return Promise.resolve();
}

async function evacuateFailureDomain(
  deployment: SoakDeployment,
  {selector, durationMs, kind}: PlannedFault,
): Promise<void> {
  const failureDomain = pickFrom(Object.keys(regionByFailureDomain), selector) ?? '';
  const endDisruption = deployment.beginDisruption(failureDomain, kind, true);
  deployment.setEvacuated(failureDomain, true);
  await sleep(durationMs);
  deployment.setEvacuated(failureDomain, false);
  endDisruption();
}
