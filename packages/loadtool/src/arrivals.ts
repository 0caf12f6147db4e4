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
  for (let count = 0; count < options.maxRequests; count += 1) {
    atMs += (-Math.log(1 - random.next()) * 1000) / options.ratePerS;
    if (atMs > options.durationMs) return;
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
