/** Plays one disruption of the plan: what each kind does, and how it is taken back. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {AnswerMode, StoreTrouble} from '@cuminsill/standins';
import {calmStore} from '@cuminsill/standins';
import type {FaultKind, PlannedFault} from './fault_plan';
import type {FaultProxy, LinkState} from './fault_proxy';
import {soundLink} from './fault_proxy';
import type {GatewayProcess} from './gateway_process';
import type {SoakWorld} from './soak_world';
import {regions} from './soak_world';
import type {SoakTarget} from './target_fleet';
import {coldMs} from './target_fleet';

type FaultHandler = (world: SoakWorld, fault: PlannedFault) => Promise<void>;

/** Entries of targets that crashed stay this long, in milliseconds. */
const entryLapseMs = 1_500;
/** A leaving target serves this long after the store has taken its report, in milliseconds. */
const serveWhileLeavingMs = 4_500;
/** An address is used again after this, in milliseconds. */
const addressReuseMs = 2_000;
const reloadsInSeries = 3;
const reloadGapMs = 40;
const maxDelayMs = 300;
const maxStoreDelayMs = 1_500;
const answersBrokenAtOnce = 12;
const fewestTargets = 2;

const handlers: Readonly<Record<FaultKind, FaultHandler>> = {
  'delay-link': (world, fault) =>
    disturbLink(world, fault, {...soundLink, delayMs: 20 + fault.strength * maxDelayMs}),
  'reset-link': (world, fault) => resetLink(world, fault),
  'cut-link-forward': (world, fault) =>
    disturbLink(world, fault, {...soundLink, passesForward: false}),
  'cut-link-back': (world, fault) => disturbLink(world, fault, {...soundLink, passesBack: false}),
  'silence-link': (world, fault) =>
    disturbLink(world, fault, {...soundLink, passesForward: false, passesBack: false}),
  'kill-gateway': (world, fault) => killGateways(world, fault, [pickGateway(world, fault)]),
  'kill-all-gateways': (world, fault) => killGateways(world, fault, world.gateways),
  'pause-gateway': pauseGateway,
  'stop-gateway': stopGateway,
  'reload-gateway': reloadGateway,
  'step-clock': stepClock,
  'store-busy': (world, fault) => disturbStore(world, fault, {mode: 'busy'}),
  'store-limits-rate': (world, fault) => disturbStore(world, fault, {mode: 'rate-limited'}),
  'store-resets': (world, fault) => disturbStore(world, fault, {mode: 'reset'}),
  'store-silent': (world, fault) => disturbStore(world, fault, {mode: 'silent'}),
  'store-slow': (world, fault) =>
    disturbStore(world, fault, {delayMs: fault.strength * maxStoreDelayMs}),
  'store-loses-answers': (world, fault) => disturbStore(world, fault, {losesWriteAnswers: true}),
  'store-forgets-history': forgetHistory,
  'crash-target': crashTarget,
  'drain-target': (world, fault) => replaceTarget(world, fault, 'announced'),
  'remove-target': (world, fault) => replaceTarget(world, fault, 'unannounced'),
  'reuse-address': reuseAddress,
  'join-target': joinTarget,
  'break-answers': breakAnswers,
  configure,
  evacuate,
};

/** Plays the disruption; ends when it is over. */
export function playFault(world: SoakWorld, fault: PlannedFault): Promise<void> {
  return handlers[fault.kind](world, fault);
}

function pickFrom<Item>(items: readonly Item[], fraction: number): Item | undefined {
  return items[Math.floor(fraction * items.length)];
}

function pickGateway({gateways}: SoakWorld, {pick}: PlannedFault): GatewayProcess {
  const gateway = pickFrom(gateways, pick);
  if (gateway === undefined) throw new Error('the run has no gateways');
  return gateway;
}

/** A target that may go: not the last ones of its service, and not one that is leaving already. */
function pickTarget({fleet}: SoakWorld, {pick}: PlannedFault): SoakTarget | undefined {
  const staying = fleet.targets.filter(({isLeaving}) => !isLeaving);
  const spare = staying.filter(
    ({service}) => staying.filter(other => other.service === service).length > fewestTargets,
  );
  return pickFrom(spare, pick);
}

interface PickedLink {
  readonly link: FaultProxy;
  readonly subject: string;
}

function pickLink(world: SoakWorld, {pick}: PlannedFault): PickedLink {
  const links = [
    ...world.gateways.flatMap(({name, callerLink, storeLink}) => [
      {link: callerLink, subject: name},
      {link: storeLink, subject: name},
    ]),
    ...world.fleet.targets.map(({id, slot}) => ({link: slot.link, subject: id})),
  ];
  const picked = pickFrom(links, pick);
  if (picked === undefined) throw new Error('the run has no links');
  return picked;
}

async function disturbLink(world: SoakWorld, fault: PlannedFault, state: LinkState): Promise<void> {
  const {link, subject} = pickLink(world, fault);
  const end = world.disrupt(subject, fault.kind);
  link.set(state);
  await sleep(fault.forMs);
  link.set(soundLink);
  end();
}

function resetLink(world: SoakWorld, fault: PlannedFault): Promise<void> {
  const {link, subject} = pickLink(world, fault);
  const end = world.disrupt(subject, fault.kind);
  link.reset();
  end();
  return Promise.resolve();
}

async function killGateways(
  world: SoakWorld,
  {kind, forMs}: PlannedFault,
  gateways: readonly GatewayProcess[],
): Promise<void> {
  const running = gateways.filter(({isRunning}) => isRunning);
  const ends = running.map(({name}) => world.disrupt(name, kind));
  await Promise.all(running.map(gateway => gateway.kill()));
  await sleep(forMs);
  for (const gateway of running) gateway.start();
  for (const end of ends) end();
}

async function pauseGateway(world: SoakWorld, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(world, fault);
  const end = world.disrupt(gateway.name, fault.kind);
  gateway.signal('SIGSTOP');
  await sleep(fault.forMs);
  gateway.signal('SIGCONT');
  end();
}

async function stopGateway(world: SoakWorld, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(world, fault);
  if (!gateway.isRunning) return;
  const end = world.disrupt(gateway.name, fault.kind, true);
  await gateway.stop();
  await sleep(fault.forMs);
  gateway.start();
  end();
}

async function reloadGateway(world: SoakWorld, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(world, fault);
  // Before its handler is installed, the signal ends a process by default.
  if (!(await gateway.isReady())) return;
  const end = world.disrupt(gateway.name, fault.kind, true);
  for (let sent = 0; sent < reloadsInSeries; sent += 1) {
    gateway.signal('SIGHUP');
    await sleep(reloadGapMs);
  }
  end();
}

async function stepClock(world: SoakWorld, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(world, fault);
  if (!(await gateway.isReady())) return;
  const end = world.disrupt(gateway.name, fault.kind);
  gateway.signal('SIGUSR2');
  await sleep(fault.forMs);
  end();
}

async function disturbStore(
  world: SoakWorld,
  {kind, forMs}: PlannedFault,
  trouble: Partial<StoreTrouble>,
): Promise<void> {
  const end = world.disrupt('store', kind);
  world.store.trouble = {...calmStore, ...trouble};
  if (trouble.mode === 'reset') world.store.cutConnections();
  await sleep(forMs);
  world.store.trouble = calmStore;
  end();
}

function forgetHistory(world: SoakWorld, {kind}: PlannedFault): Promise<void> {
  const end = world.disrupt('store', kind);
  world.store.table.dropHistory();
  end();
  return Promise.resolve();
}

/** Takes a target for a disruption that ends it; undefined when none may go. */
function takeTarget(
  world: SoakWorld,
  fault: PlannedFault,
  planned: boolean,
): {readonly target: SoakTarget; readonly end: () => void} | undefined {
  const target = pickTarget(world, fault);
  if (target === undefined) return undefined;
  target.isLeaving = true;
  return {target, end: world.disrupt(target.id, fault.kind, planned)};
}

async function crashTarget(world: SoakWorld, fault: PlannedFault): Promise<void> {
  const taken = takeTarget(world, fault, false);
  if (taken === undefined) return;
  const {target, end} = taken;
  world.fleet.crash(target);
  await sleep(fault.forMs);
  await world.fleet.run(target, coldMs);
  target.isLeaving = false;
  end();
}

async function replaceTarget(
  world: SoakWorld,
  fault: PlannedFault,
  how: 'announced' | 'unannounced',
): Promise<void> {
  const taken = takeTarget(world, fault, true);
  if (taken === undefined) return;
  const {target, end} = taken;
  const {fleet} = world;
  if (how === 'announced') fleet.drain(target);
  else fleet.removeEntry(target);
  await sleep(serveWhileLeavingMs);
  fleet.removeEntry(target);
  fleet.forget(target);
  end();
  await fleet.add(target.service, target.slot.failureDomain, coldMs);
}

/** A target crashes for good, and a target of another service gets its address. */
async function reuseAddress(world: SoakWorld, fault: PlannedFault): Promise<void> {
  const taken = takeTarget(world, fault, false);
  if (taken === undefined) return;
  const {target, end} = taken;
  const {fleet} = world;
  fleet.crash(target);
  await sleep(entryLapseMs);
  fleet.removeEntry(target);
  await sleep(addressReuseMs);
  fleet.forget(target);
  const others = fleet.services().filter(service => service !== target.service);
  await fleet.addAt(target.slot, pickFrom(others, fault.strength) ?? target.service, coldMs);
  end();
}

async function joinTarget(world: SoakWorld, {pick}: PlannedFault): Promise<void> {
  const service = pickFrom(world.fleet.services(), pick) ?? 'pages';
  const failureDomain = world.domain(world.fleet.targets.length);
  await world.fleet.add(service, failureDomain, coldMs);
}

const brokenModes: readonly AnswerMode[] = [
  'shed',
  'failing',
  'lost',
  'silent',
  'cut',
  'unframed-cut',
  'extra',
  'early',
];

function breakAnswers(world: SoakWorld, {kind, pick, strength}: PlannedFault): Promise<void> {
  const target = pickFrom(world.fleet.targets, pick);
  const end = world.disrupt(target?.id ?? '', kind);
  const mode = pickFrom(brokenModes, (strength * answersBrokenAtOnce) % 1) ?? 'lost';
  const count = Math.ceil(strength * answersBrokenAtOnce);
  target?.script.push(...Array.from({length: count}, () => mode));
  end();
  return Promise.resolve();
}

function configure(world: SoakWorld, {pick, strength}: PlannedFault): Promise<void> {
  const {sendService, hasNewRoute} = world.choices;
  world.configure({
    sendService: pick < 0.5 ? sendService : sendService === 'files' ? 'orders' : 'files',
    hasNewRoute: strength < 0.5 ? hasNewRoute : !hasNewRoute,
  });
  return Promise.resolve();
}

async function evacuate(world: SoakWorld, {pick, forMs, kind}: PlannedFault): Promise<void> {
  const domain = pickFrom(Object.keys(regions), pick) ?? '';
  const end = world.disrupt(domain, kind, true);
  world.evacuate(domain, true);
  await sleep(forMs);
  world.evacuate(domain, false);
  end();
}
