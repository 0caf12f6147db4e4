/** Injects one planned fault: what each kind does, and how it is reverted. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {ObjectStoreFault} from '@cuminsill/standins';
import {noObjectStoreFault} from '@cuminsill/standins';
import type {FaultHandler} from './fault_handler';
import {pickFrom} from './fault_handler';
import type {FaultKind, PlannedFault} from './fault_plan';
import type {FaultProxy, LinkState} from './fault_proxy';
import {healthyLink} from './fault_proxy';
import {
  killAllGateways,
  killGateway,
  pauseGateway,
  reloadGateway,
  stepClock,
  stopGateway,
} from './gateway_faults';
import type {SoakDeployment} from './soak_deployment';
import {regionByFailureDomain} from './soak_deployment';
import {
  askForPause,
  breakAnswers,
  crashTarget,
  joinTarget,
  leaveInAnswers,
  limitTarget,
  replaceTarget,
  reuseAddress,
} from './target_faults';

const maxLinkDelayMs = 300;
const maxStoreDelayMs = 1_500;

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
  'kill-gateway': killGateway,
  'kill-all-gateways': killAllGateways,
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
