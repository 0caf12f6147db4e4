/**
 * Measures how the CPU time of an assignment with its release, of a slot division and of adopting a configuration grows
 * with the numbers of targets, services and members. Prints a table, then JSON.
 */
import type {Configuration, Member} from '@cuminsill/types';
import {ManualTime} from '@cuminsill/utils';
import type {Assignment} from '../src';
import {divideSlots, RouteTable, Steering} from '../src';
import {
  makeConfiguration,
  makeMembers,
  makeSteeringOptions,
  makeService,
  makeTargets,
} from './fleets';

interface FleetSize {
  readonly targets: number;
  readonly services: number;
  readonly members: number;
  readonly regions: number;
}

interface CostRow extends FleetSize {
  readonly assignReleaseUs: number;
  readonly divisionMs: number;
  readonly adoptMs: number;
}

const fleetSizes: readonly FleetSize[] = [
  {targets: 48, services: 4, members: 10, regions: 3},
  {targets: 480, services: 4, members: 10, regions: 3},
  {targets: 960, services: 4, members: 10, regions: 3},
  {targets: 1920, services: 4, members: 10, regions: 3},
  {targets: 4800, services: 4, members: 10, regions: 3},
  {targets: 960, services: 10, members: 10, regions: 3},
  {targets: 960, services: 20, members: 10, regions: 3},
  {targets: 960, services: 40, members: 10, regions: 3},
  {targets: 960, services: 4, members: 30, regions: 3},
  {targets: 960, services: 4, members: 90, regions: 3},
  {targets: 960, services: 4, members: 170, regions: 3},
  {targets: 2000, services: 4, members: 168, regions: 21},
];
const requestCount = 100_000;
const maxInFlight = 4;

function makeFleet(size: FleetSize): {
  readonly configuration: Configuration;
  readonly members: readonly Member[];
} {
  const regionIds = Array.from({length: size.regions}, (_, index) => `r${index}`);
  const services = Array.from({length: size.services}, (_, index) => makeService(`s${index}`));
  const targetsPerPool = Math.max(1, Math.round(size.targets / size.services / size.regions));
  const targets = services.flatMap(({id}) =>
    regionIds.flatMap(regionId => makeTargets(id, regionId, targetsPerPool, 4)),
  );
  const allMembers = makeMembers(regionIds, Math.ceil(size.members / size.regions));
  return {configuration: makeConfiguration(regionIds, services, targets), members: allMembers};
}

function cpuMs(run: () => void): number {
  const before = process.cpuUsage();
  run();
  const usage = process.cpuUsage(before);
  return (usage.user + usage.system) / 1000;
}

function measureRequests(steering: Steering, time: ManualTime, serviceCount: number): number {
  const heldAssignments: Assignment[] = [];
  const sendRequests = (count: number): void => {
    for (let index = 0; index < count; index += 1) {
      if (index % 100 === 0) time.advance(1);
      steering.assign(
        {
          serviceId: `s${index % serviceCount}`,
          callerRegionId: 'r0',
          trafficClass: 'interactive',
          deadlineMs: time.monotonicMs() + 2000,
          excludedTargetIds: [],
        },
        result => {
          if ('slotId' in result) heldAssignments.push(result);
        },
      );
      const oldest = heldAssignments.length > maxInFlight ? heldAssignments.shift() : undefined;
      if (oldest !== undefined) steering.release(oldest, 'answered', 100);
    }
  };
  sendRequests(requestCount / 5);
  return (cpuMs(() => sendRequests(requestCount)) * 1000) / requestCount;
}

function measure(size: FleetSize): CostRow {
  const {configuration, members} = makeFleet(size);
  const routes = new RouteTable(configuration);
  const time = new ManualTime();
  const steering = new Steering(makeSteeringOptions('r0-e0', 'r0'), time);
  divideSlots(configuration, routes, members);
  const divisionMs = cpuMs(() => divideSlots(configuration, routes, members));
  const adoptMs = cpuMs(() => {
    steering.updateConfiguration(configuration);
    steering.updateMembers(members);
  });
  const assignReleaseUs = measureRequests(steering, time, size.services);
  return {...size, assignReleaseUs, divisionMs, adoptMs};
}

const rows = fleetSizes.map(measure);
console.table(rows);
console.log(JSON.stringify(rows));
