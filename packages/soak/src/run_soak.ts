/** One run of the soak: starts a deployment, plays the disruptions of a seed while callers send, and checks the promises. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {calmStore} from '@cuminsill/standins';
import {seededRandom} from '@cuminsill/utils';
import type {ProfileName} from './fault_plan';
import {planFaults, profileOf} from './fault_plan';
import {soundLink} from './fault_proxy';
import {playFault} from './play_fault';
import type {PromiseBounds, Violation} from './promise_checks';
import {checkPromises} from './promise_checks';
import {SoakCaller} from './soak_caller';
import type {SoakHistory} from './soak_history';
import type {WorldOptions} from './soak_world';
import {SoakWorld} from './soak_world';

/** What to run. */
export interface SoakOptions extends WorldOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly callerCount: number;
  /** Whether promises with a time bound are checked as well. */
  readonly timed: boolean;
  /** Profile of disruptions; that of the seed by default. */
  readonly profile?: ProfileName;
}

/** What came out of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly profile: ProfileName;
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly served: number;
  readonly disruptions: number;
}

/** Bounds of the stand-in deployment; its settings name the same values where gateways need them. */
export const soakBounds: PromiseBounds = {
  stabilityMs: 4_000,
  drainMs: 2_500,
  applyMs: 2_500,
  crossingMs: 200,
  cancelMs: 500,
  timeoutMs: 1_000,
  timeoutSlackMs: 500,
  retryRatio: 0.2,
  retrySlack: 60,
  retryWindowMs: 10_000,
  memoryBytes: 350e6,
  servedShareAfter: 0.9,
};

/** Longest time until every gateway is ready after the disruptions, in milliseconds. */
const recoveryMs = 15_000;
/** Gateways learn again who is there, and new targets warm up. */
const settleMs = 2_500;
const calmEndMs = 2_000;
/** What was held back on the way can still run in this time. */
const lateRunsMs = 1_000;
const memoryEveryMs = 500;
const readyPollMs = 50;

/** Plays one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const profile = options.profile ?? profileOf(options.seed);
  const world = new SoakWorld(options);
  await world.start();
  const history = await play(world, options, profile).finally(() => heal(world));
  const violations = checkPromises(history, soakBounds, {timed: options.timed});
  const result = summarise(options.seed, profile, history, violations);
  if (violations.length > 0) keepFinding(options.folder, result, history);
  return result;
}

async function play(
  world: SoakWorld,
  options: SoakOptions,
  profile: ProfileName,
): Promise<SoakHistory> {
  await untilReady(world);
  let isSending = true;
  const callers = Array.from({length: options.callerCount}, (_, number) => {
    const random = seededRandom(options.seed * 1_000 + number);
    return new SoakCaller(world, `c${number + 1}`, random).run(() => isSending);
  });
  const memory = setInterval(() => noteMemory(world), memoryEveryMs);
  const startMs = world.nowMs();
  const faults = planFaults(options.seed, options.durationMs, profile).map(async fault => {
    await sleep(Math.max(0, startMs + fault.atMs - world.nowMs()));
    await playFault(world, fault);
  });
  await Promise.all(faults);
  heal(world);
  await untilReady(world);
  await sleep(settleMs);
  world.recorder.healed(world.nowMs());
  await sleep(calmEndMs);
  isSending = false;
  await Promise.all(callers);
  await sleep(lateRunsMs);
  clearInterval(memory);
  await world.stop();
  return world.recorder.finish(world.nowMs());
}

function heal(world: SoakWorld): void {
  world.store.trouble = calmStore;
  for (const gateway of world.gateways) {
    gateway.callerLink.set(soundLink);
    gateway.storeLink.set(soundLink);
    gateway.signal('SIGCONT');
  }
  for (const {slot, script} of world.fleet.targets) {
    slot.link.set(soundLink);
    script.length = 0;
  }
}

/** Waits until every gateway is ready, and notes those that are not in time. */
async function untilReady(world: SoakWorld): Promise<void> {
  const untilMs = world.nowMs() + recoveryMs;
  for (const gateway of world.gateways) {
    while (!(await gateway.isReady())) {
      if (world.nowMs() > untilMs) {
        world.recorder.notReady.push(gateway.name);
        break;
      }
      await sleep(readyPollMs);
    }
  }
}

function noteMemory({gateways}: SoakWorld): void {
  for (const gateway of gateways) gateway.noteMemory();
}

function summarise(
  seed: number,
  profile: ProfileName,
  {requests, disruptions}: SoakHistory,
  violations: readonly Violation[],
): SoakResult {
  const served = requests.filter(({end}) => end.kind === 'answered' && end.status === 200);
  return {
    seed,
    profile,
    violations,
    requests: requests.length,
    served: served.length,
    disruptions: disruptions.length,
  };
}

/** Keeps what is needed to trace a finding, beside the logs of the gateways. */
function keepFinding(folder: string, result: SoakResult, history: SoakHistory): void {
  writeFileSync(join(folder, 'finding.json'), JSON.stringify({...result, history}, undefined, 1));
}
