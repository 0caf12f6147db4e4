/** Measures CPU time of assign and release, and of a slot division, as the fleet grows. Writes JSON. */
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

const sizes: readonly FleetSize[] = [
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
  const perPool = Math.max(1, Math.round(size.targets / size.services / size.regions));
  const targets = services.flatMap(({id}) =>
    regionIds.flatMap(regionId => makeTargets(id, regionId, perPool, 4)),
  );
  const allMembers = makeMembers(regionIds, Math.ceil(size.members / size.regions));
  return {configuration: makeConfiguration(regionIds, services, targets), members: allMembers};
}

function cpuMs(run: () => void): number {
  const before = process.cpuUsage();
  run();
  const used = process.cpuUsage(before);
  return (used.user + used.system) / 1000;
}

function measureRequests(steering: Steering, time: ManualTime, services: number): number {
  const held: Assignment[] = [];
  const drive = (count: number): void => {
    for (let index = 0; index < count; index += 1) {
      if (index % 100 === 0) time.advance(1);
      steering.assign(
        {
          serviceId: `s${index % services}`,
          callerRegionId: 'r0',
          trafficClass: 'interactive',
          deadlineMs: time.monotonicMs() + 2000,
          excludedTargetIds: [],
        },
        result => {
          if ('slotId' in result) held.push(result);
        },
      );
      const oldest = held.length > maxInFlight ? held.shift() : undefined;
      if (oldest !== undefined) steering.release(oldest, 'answered', 100);
    }
  };
  drive(requestCount / 5);
  return (cpuMs(() => drive(requestCount)) * 1000) / requestCount;
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

const rows = sizes.map(measure);
console.table(rows);
console.log(JSON.stringify(rows));
