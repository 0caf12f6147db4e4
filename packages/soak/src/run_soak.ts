/** One run: starts a deployment, injects the faults of a seed while callers send requests, and checks the promises. */
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {noObjectStoreFault} from '@cuminsill/standins';
import {seededRandom} from '@cuminsill/utils';
import {crashingTraffic, ordinaryTraffic} from './caller_traffic';
import type {ProfileName} from './fault_plan';
import {planFaults, profileForSeed} from './fault_plan';
import {healthyLink} from './fault_proxy';
import {injectFault} from './inject_fault';
import type {PromiseBounds} from './promise_bounds';
import type {Violation} from './promise_checks';
import {checkPromises} from './promise_checks';
import {SoakCaller} from './soak_caller';
import type {SoakHistory} from './soak_history';
import type {DeploymentOptions} from './soak_deployment';
import {SoakDeployment} from './soak_deployment';

/** Options of one run. */
export interface SoakOptions extends DeploymentOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly callerCount: number;
  /** Whether promises with a time bound are checked too. */
  readonly includesTimedChecks: boolean;
  /** Fault profile; by default that of the seed. */
  readonly profile?: ProfileName;
}

/** Result of one run. */
export interface SoakResult {
  readonly seed: number;
  readonly profile: ProfileName;
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly served: number;
  readonly disruptions: number;
}

/** Bounds for the deployment of the soak. Values that are also gateway settings are the same in its settings file. */
export const soakBounds: PromiseBounds = {
  stabilityMs: 4_000,
  drainMs: 2_500,
  adoptionMs: 2_500,
  closeRaceMs: 200,
  cancelMs: 500,
  timeoutMs: 1_000,
  timeoutSlackMs: 500,
  retryRatio: 0.2,
  retrySlackRequests: 60,
  retryWindowMs: 10_000,
  maxMemoryBytes: 350e6,
  minServedFraction: 0.9,
  maxCrashes: 3,
  maxRetriesAfterCrashes: 3,
  limitFactor: 1.5,
  limitSlackRequests: 5,
  limitWindowMs: 4_000,
  limitNoticeMs: 500,
  pauseNoticeMs: 500,
  maxRequestsInPause: 2,
};

/** Maximum time until every gateway is ready, at the start and after the faults, in milliseconds. */
const maxRecoveryMs = 15_000;
/** Time in which gateways discover each other again and new targets warm up. */
const settleMs = 2_500;
/** Period after recovery in which requests must be served again. */
const finalTrafficMs = 2_000;
/** Time in which requests that are still on their way can reach a target and run. */
const lateArrivalsMs = 1_000;
const memoryIntervalMs = 500;
const readyPollMs = 50;

/** Runs one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const profile = options.profile ?? profileForSeed(options.seed);
  const deployment = new SoakDeployment(options);
  await deployment.start();
  const history = await recordHistory(deployment, options, profile).finally(() =>
    removeFaults(deployment),
  );
  const violations = checkPromises(history, soakBounds, {
    includesTimedChecks: options.includesTimedChecks,
  });
  const result = summarize(options.seed, profile, history, violations);
  if (violations.length > 0) writeFinding(options.folder, result, history);
  return result;
}

async function recordHistory(
  deployment: SoakDeployment,
  options: SoakOptions,
  profile: ProfileName,
): Promise<SoakHistory> {
  await waitUntilReady(deployment);
  let isSending = true;
  const callers = Array.from({length: options.callerCount}, (_, number) => {
    const random = seededRandom(options.seed * 1_000 + number);
    const caller = new SoakCaller(deployment, `c${number + 1}`, random, ordinaryTraffic);
    return caller.run(() => isSending);
  });
  if (profile === 'crashing') {
    callers.push(sendCrashingRequests(deployment, options, () => isSending));
  }
  const memoryTimer = setInterval(() => recordMemory(deployment), memoryIntervalMs);
  const startMs = deployment.nowMs();
  const faults = planFaults(options.seed, options.durationMs, profile).map(async fault => {
    await sleep(Math.max(0, startMs + fault.atMs - deployment.nowMs()));
    await injectFault(deployment, fault);
  });
  await Promise.all(faults);
  removeFaults(deployment);
  await waitUntilReady(deployment);
  await sleep(settleMs);
  deployment.recorder.markHealed(deployment.nowMs());
  await sleep(finalTrafficMs);
  isSending = false;
  await Promise.all(callers);
  await sleep(lateArrivalsMs);
  clearInterval(memoryTimer);
  await deployment.stop();
  return deployment.recorder.finish(deployment.nowMs());
}

function sendCrashingRequests(
  deployment: SoakDeployment,
  {seed}: SoakOptions,
  shouldContinue: () => boolean,
): Promise<void> {
  const random = seededRandom(seed);
  return new SoakCaller(deployment, 'crash', random, crashingTraffic).run(shouldContinue);
}

function removeFaults(deployment: SoakDeployment): void {
  deployment.store.fault = noObjectStoreFault;
  for (const gateway of deployment.gateways) {
    gateway.callerLink.setState(healthyLink);
    gateway.storeLink.setState(healthyLink);
    gateway.signal('SIGCONT');
  }
  for (const {location, nextAnswerModes} of deployment.fleet.targets) {
    location.link.setState(healthyLink);
    nextAnswerModes.length = 0;
  }
}

/** Waits until every gateway is ready, and records those that are not ready in time. */
async function waitUntilReady(deployment: SoakDeployment): Promise<void> {
  const untilMs = deployment.nowMs() + maxRecoveryMs;
  for (const gateway of deployment.gateways) {
    while (!(await gateway.isReady())) {
      if (deployment.nowMs() > untilMs) {
        deployment.recorder.notReady.push(gateway.name);
        break;
      }
      await sleep(readyPollMs);
    }
  }
}

function recordMemory({gateways}: SoakDeployment): void {
  for (const gateway of gateways) gateway.recordMemory();
}

function summarize(
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

/** Writes the result and the history beside the logs of the gateways, so that the violations can be investigated. */
function writeFinding(folder: string, result: SoakResult, history: SoakHistory): void {
  writeFileSync(join(folder, 'finding.json'), JSON.stringify({...result, history}, undefined, 1));
}
