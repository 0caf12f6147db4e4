/** Prints the share of requests that the product's placement and the baselines answer in time, for each load. */
import {leastInFlightWithHash, leastLoaded} from './baseline_policies';
import {archiveLoad, availabilityLoad, proofLoad} from './loads';
import type {Policy, ServiceLoad} from './service_model';
import {playService} from './service_model';

const loads: ReadonlyArray<readonly [string, ServiceLoad]> = [
  ['proofs, 222/s', proofLoad],
  ['proofs, 320/s', {...proofLoad, requestsPerS: 320}],
  ['availability, 120/s', availabilityLoad],
  ['availability, 172/s', {...availabilityLoad, requestsPerS: 172}],
  ['archive, 32/s', archiveLoad],
  ['archive, 50/s', {...archiveLoad, requestsPerS: 50}],
];

function share(load: ServiceLoad, policy?: Policy): string {
  const {inAim, asked} = playService(load, policy);
  return (inAim / asked).toFixed(2);
}

console.log('| load | product | least loaded | own in flight and hash |');
console.log('| --- | --- | --- | --- |');
for (const [name, load] of loads) {
  const shares = [share(load), share(load, leastLoaded), share(load, leastInFlightWithHash)];
  console.log(`| ${name} | ${shares.join(' | ')} |`);
}
