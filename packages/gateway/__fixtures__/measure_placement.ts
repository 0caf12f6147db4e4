/** Prints the fraction of requests that the gateway's placement and the baselines answer in time, for each load. */
import {leastInFlightWithHash, leastLoaded} from './baseline_policies';
import {archiveLoad, availabilityLoad, proofLoad} from './service_loads';
import type {ServiceLoad} from './service_load';
import type {PlacementPolicy} from './service_simulation';
import {simulateService} from './service_simulation';

const loads: ReadonlyArray<readonly [string, ServiceLoad]> = [
  ['proofs, 222/s', proofLoad],
  ['proofs, 320/s', {...proofLoad, requestsPerS: 320}],
  ['availability, 120/s', availabilityLoad],
  ['availability, 172/s', {...availabilityLoad, requestsPerS: 172}],
  ['archive, 32/s', archiveLoad],
  ['archive, 50/s', {...archiveLoad, requestsPerS: 50}],
];

function inTimeFraction(load: ServiceLoad, policy?: PlacementPolicy): string {
  const {inTimeCount: inAim, requestCount: asked} = simulateService(load, policy);
  return (inAim / asked).toFixed(2);
}

console.log('| load | product | least loaded | own in flight and hash |');
console.log('| --- | --- | --- | --- |');
for (const [name, load] of loads) {
  const fractions = [
    inTimeFraction(load),
    inTimeFraction(load, leastLoaded),
    inTimeFraction(load, leastInFlightWithHash),
  ];
  console.log(`| ${name} | ${fractions.join(' | ')} |`);
}
