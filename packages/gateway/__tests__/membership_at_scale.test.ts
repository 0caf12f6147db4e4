/** What gateways believe of each other in fleets of different sizes, simulated without a network. */
import type {GatewayTraffic} from '../__fixtures__/membership_simulation';
import {SimulatedFleet} from '../__fixtures__/membership_simulation';

interface FleetCase {
  readonly gatewayCount: number;
  readonly lossRate: number;
  readonly regionCount?: number;
  readonly domainsPerRegion?: number;
}

const cases: readonly FleetCase[] = [
  {gatewayCount: 10, lossRate: 0.05},
  {gatewayCount: 30, lossRate: 0.05},
  {gatewayCount: 100, lossRate: 0.05},
  {gatewayCount: 195, lossRate: 0.05},
  {gatewayCount: 300, lossRate: 0.05},
];

const settleMs = 4_000;
const observeMs = 4_000;
const observeIntervalMs = 100;
const maxDetectionMs = 3_000;
/** Messages that a gateway may send in a second, whatever the size of the fleet. */
const maxMessagesPerS = 64;
const maxBytesPerS = 80 * 1_024;
/** Bandwidth between regions is low and shared by all traffic. */
const maxBytesPerSToOtherRegions = 3 * 1_024;

/** What was seen in the life of one fleet. */
interface FleetResult {
  readonly falselyDeadCount: number;
  readonly traffic: GatewayTraffic;
  /** Gateways that still count a gateway as alive some time after its crash. */
  readonly believerCount: number;
}

function playFleet(fleetCase: FleetCase): FleetResult {
  const fleet = new SimulatedFleet({...fleetCase, seed: 1});
  fleet.run(settleMs);
  let falselyDeadCount = 0;
  for (let elapsedMs = 0; elapsedMs < observeMs; elapsedMs += observeIntervalMs) {
    fleet.run(observeIntervalMs);
    falselyDeadCount += fleet.countFalselyDead();
  }
  const traffic = fleet.trafficPerGateway();
  const [crashed = ''] = fleet.names;
  fleet.kill(crashed);
  fleet.run(maxDetectionMs);
  return {falselyDeadCount, traffic, believerCount: fleet.countBelievers(crashed)};
}

describe.each(cases)('$gatewayCount gateways', fleetCase => {
  let result: FleetResult;

  beforeAll(() => {
    result = playFleet(fleetCase);
  });

  /** Guards against a fleet in which many gateways count as dead at any moment because they are heard in turn. */
  test('no running gateway counts as dead', () => {
    expect(result.falselyDeadCount).toBe(0);
  });

  /** Guards against look-up answers that name a crashed gateway, and against senders that are no longer there. */
  test('a crashed gateway is known to 99% of the others within 3 s', () => {
    expect(result.believerCount).toBeLessThanOrEqual(fleetCase.gatewayCount * 0.01);
  });

  /** Guards against messages whose number grows with the fleet, or which become too large. */
  test('a gateway sends a bounded number of messages and bytes', () => {
    expect(result.traffic.messagesPerS).toBeLessThanOrEqual(maxMessagesPerS);
    expect(result.traffic.bytesPerS).toBeLessThanOrEqual(maxBytesPerS);
    expect(result.traffic.bytesPerSToOtherRegions).toBeLessThanOrEqual(maxBytesPerSToOtherRegions);
  });
});

const scatteredCases: readonly FleetCase[] = [
  {gatewayCount: 14, lossRate: 0.05, regionCount: 1, domainsPerRegion: 14},
  {gatewayCount: 20, lossRate: 0.05, regionCount: 3, domainsPerRegion: 7},
  {gatewayCount: 20, lossRate: 0.05, regionCount: 14, domainsPerRegion: 1},
  {gatewayCount: 60, lossRate: 0.05, regionCount: 3, domainsPerRegion: 20},
];

/** Guards against too few receivers where failure domains or regions have one or two gateways. */
test.each(scatteredCases)(
  '$gatewayCount gateways in $regionCount regions of $domainsPerRegion domains hear of each other',
  fleetCase => {
    const {falselyDeadCount, believerCount} = playFleet(fleetCase);
    expect([falselyDeadCount, believerCount]).toEqual([0, 0]);
  },
);
