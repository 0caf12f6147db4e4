/** Uneven demand and slow requests of the simulation of a service. */
import type {RandomSource} from '@cuminsill/utils';
import type {ServiceLoad} from './service_load';

/** Region of the next request: all are equally likely, unless demand is a wave. */
export function drawRegion(
  {regions, wave}: ServiceLoad,
  nowMs: number,
  random: RandomSource,
): number {
  // The waves of regions that are equally far apart add up to the number of regions.
  let left = random.next() * regions.length;
  if (wave === undefined) return Math.floor(left);
  for (const index of regions.keys()) {
    const phase = nowMs / wave.periodMs - index / regions.length;
    left -= 1 + wave.amplitude * Math.sin(2 * Math.PI * phase);
    if (left < 0) return index;
  }
  return regions.length - 1;
}

/** Factor of the service time of one request. */
export function disturbanceFactor(
  {slowdown, longRequests}: ServiceLoad,
  isSlowed: boolean,
  random: RandomSource,
): number {
  const slowFactor = slowdown !== undefined && isSlowed ? slowdown.factor : 1;
  const isLong = longRequests !== undefined && random.next() < longRequests.fraction;
  return slowFactor * (isLong ? longRequests.factor : 1);
}

/** Means of groups of consecutive values. */
export function meansOf(values: readonly number[], groupSize: number): readonly number[] {
  return Array.from({length: Math.floor(values.length / groupSize)}, (_value, index) => {
    const group = values.slice(index * groupSize, (index + 1) * groupSize);
    return group.reduce((sum, value) => sum + value, 0) / groupSize;
  });
}
