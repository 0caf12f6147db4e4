/**
 * Seeded arrivals of an open-loop load: requests arrive at their times whether or not earlier ones have been
 * answered, as they do from many independent callers.
 */
import type {RandomSource} from '@cuminsill/utils';

/** One kind of requests: a service asked for by the callers of a region. */
export interface RequestStream {
  readonly serviceId: string;
  readonly callerRegionId: string;
  /** Relative frequency. */
  readonly weight: number;
}

/** One request to come. */
export interface Arrival {
  /** Milliseconds since the start of the load. */
  readonly atMs: number;
  readonly stream: RequestStream;
}

/** Bounds and rate of a load. */
export interface ArrivalOptions {
  readonly ratePerS: number;
  readonly durationMs: number;
  readonly maxRequests: number;
  /** Time in which the rate grows evenly from 0 to `ratePerS`, in milliseconds; 0 starts at the full rate. */
  readonly rampUpMs: number;
}

/** Gives arrivals of a Poisson process in order of time; the same random source gives the same arrivals. */
export function* makeArrivals(
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
    // Leaving out arrivals at random keeps the process a Poisson process.
    if (random.next() * options.rampUpMs > atMs) continue;
    count += 1;
    yield {atMs, stream: pickStream(streams, random.next() * totalWeight)};
  }
}

function pickStream(streams: readonly RequestStream[], position: number): RequestStream {
  let passed = 0;
  for (const stream of streams) {
    passed += stream.weight;
    if (position < passed) return stream;
  }
  return streams[streams.length - 1] as RequestStream;
}
