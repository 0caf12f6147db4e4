/** Faults and planned operations of gateway processes: what each kind does, and how it is reverted. */
import {setTimeout as sleep} from 'node:timers/promises';
import {pickFrom} from './fault_handler';
import type {PlannedFault} from './fault_plan';
import type {GatewayProcess} from './gateway_process';
import type {SoakDeployment} from './soak_deployment';

const reloadsPerFault = 3;
const reloadGapMs = 40;

function pickGateway({gateways}: SoakDeployment, {selector}: PlannedFault): GatewayProcess {
  const gateway = pickFrom(gateways, selector);
  if (gateway === undefined) throw new Error('the run has no gateways');
  return gateway;
}

/** Kills one gateway, and starts it again after the duration of the fault. */
export function killGateway(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  return killGateways(deployment, fault, [pickGateway(deployment, fault)]);
}

/** Kills all gateways at once, and starts them again after the duration of the fault. */
export function killAllGateways(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  return killGateways(deployment, fault, deployment.gateways);
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

/** Freezes one gateway for the duration of the fault. */
export async function pauseGateway(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(deployment, fault);
  const endDisruption = deployment.beginDisruption(gateway.name, fault.kind);
  gateway.signal('SIGSTOP');
  await sleep(fault.durationMs);
  gateway.signal('SIGCONT');
  endDisruption();
}

/** Stops one gateway as an operator does, and starts it again. */
export async function stopGateway(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(deployment, fault);
  if (!gateway.isRunning) return;
  const endDisruption = deployment.beginDisruption(gateway.name, fault.kind, true);
  await gateway.stop();
  await sleep(fault.durationMs);
  gateway.start();
  endDisruption();
}

/** Makes one gateway read its settings again, several times in quick succession. */
export async function reloadGateway(
  deployment: SoakDeployment,
  fault: PlannedFault,
): Promise<void> {
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

/** Steps the wall clock of one gateway. */
export async function stepClock(deployment: SoakDeployment, fault: PlannedFault): Promise<void> {
  const gateway = pickGateway(deployment, fault);
  if (!(await gateway.isReady())) return;
  const endDisruption = deployment.beginDisruption(gateway.name, fault.kind);
  gateway.signal('SIGUSR2');
  await sleep(fault.durationMs);
  endDisruption();
}
