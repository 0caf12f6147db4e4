/**
 * Measures what the heartbeats of one gateway cost in fleets of different sizes, without a network: messages and bytes
 * sent, memory of its view of the others, and processor time. Run with `npm run measure:heartbeats`.
 */
import {SimulatedFleet} from './membership_simulation';

const gatewayCounts: readonly number[] = [10, 30, 100, 300];
const lossRate = 0.05;
const settleMs = 4_000;
const observedMs = 4_000;
const observeIntervalMs = 100;
const crashNoticeMs = 3_000;

function heapBytes(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}

function measure(gatewayCount: number): Readonly<Record<string, number>> {
  const heapBefore = heapBytes();
  const fleet = new SimulatedFleet({gatewayCount, lossRate, seed: 1});
  fleet.run(settleMs);
  const heapPerGateway = (heapBytes() - heapBefore) / gatewayCount;
  const cpuBefore = process.cpuUsage();
  fleet.run(observedMs);
  const {user} = process.cpuUsage(cpuBefore);
  let falselyDead = 0;
  for (let elapsedMs = 0; elapsedMs < observedMs; elapsedMs += observeIntervalMs) {
    fleet.run(observeIntervalMs);
    falselyDead += fleet.countFalselyDead();
  }
  const traffic = fleet.trafficPerGateway();
  const [crashed = ''] = fleet.names;
  fleet.kill(crashed);
  fleet.run(crashNoticeMs);
  return {
    gateways: gatewayCount,
    'messages/s': Number(traffic.messagesPerS.toFixed(1)),
    'bytes/s': Math.round(traffic.bytesPerS),
    'to other domains': Math.round(traffic.bytesPerSToOtherDomains),
    'to other regions': Math.round(traffic.bytesPerSToOtherRegions),
    'cpu ms/s': Number((user / gatewayCount / observedMs).toFixed(2)),
    'heap bytes': Math.round(heapPerGateway),
    'falsely dead pairs': falselyDead,
    'crash unnoticed after 3 s': fleet.countBelievers(crashed),
  };
}

console.table(gatewayCounts.map(measure));
