/**
 * Seeded arrival times of an open-loop load: each request is sent when it is due, whether or not earlier ones have
 * been answered, as with many independent callers.
 */
import type {RandomSource} from '@cuminsill/utils';

/** Requests to one service from the callers of one region. */
export interface RequestStream {
  readonly serviceId: string;
  readonly callerRegionId: string;
  /** Relative frequency; only the ratios of the weights matter. */
  readonly weight: number;
}

/** A request that is due at a given time. */
export interface Arrival {
  /** Milliseconds since the start of the load. */
  readonly atMs: number;
  readonly stream: RequestStream;
}

/** Rate and bounds of a load. */
export interface ArrivalOptions {
  readonly ratePerS: number;
  readonly durationMs: number;
  readonly maxRequests: number;
  /** Time in which the rate grows linearly from 0 to `ratePerS`, in milliseconds; 0 starts at the full rate. */
  readonly rampUpMs: number;
}

/** Yields the arrivals of a Poisson process in order of time; the same seed yields the same arrivals. */
export function* generateArrivals(
  streams: readonly RequestStream[],
  options: ArrivalOptions,
  random: RandomSource,
): Generator<Arrival> {
  const totalWeight = streams.reduce((sum, stream) => sum + stream.weight, 0);
  if (totalWeight <= 0 || options.ratePerS <= 0) return;
  let atMs = 0;
  for (let count = 0; count < options.maxRequests;) {
    atMs += (-Math.log(1 - random.next()) * 1000) / options.ratePerS;
    if (atMs > options.durationMs) return;
    // Dropping arrivals at random (thinning) leaves a Poisson process, here with a rate that grows linearly.
    if (random.next() * options.rampUpMs > atMs) continue;
    count += 1;
    yield {atMs, stream: pickStream(streams, random.next() * totalWeight)};
  }
}

function pickStream(streams: readonly RequestStream[], weightOffset: number): RequestStream {
  let cumulativeWeight = 0;
  for (const stream of streams) {
    cumulativeWeight += stream.weight;
    if (weightOffset < cumulativeWeight) return stream;
  }
  return streams[streams.length - 1] as RequestStream;
}
