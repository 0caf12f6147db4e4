/**
 * Runs an open-loop load over many stand-in callers. Latency counts from the time at which a request was due,
 * so that a slow answer does not hide the wait of those behind it.
 */
import {callerAddress, StandinCaller} from '@cuminsill/standins';
import type {CallResult} from '@cuminsill/standins';
import type {Catalog, ServiceContract, SocketAddress} from '@cuminsill/types';
import {randomBelow, seededRandom, systemTime} from '@cuminsill/utils';
import type {RandomSource} from '@cuminsill/utils';
import {makeArrivals} from './arrivals';
import type {Arrival, RequestStream} from './arrivals';
import {makeServiceRequest} from './service_requests';

/** What to load, how much and for how long. */
export interface LoadOptions {
  readonly catalog: Catalog;
  readonly lookupAddresses: readonly SocketAddress[];
  readonly ratePerS: number;
  readonly durationS: number;
  readonly maxRequests: number;
  /** Requests that may wait for answers at the same time; further ones are counted as not sent. */
  readonly maxInFlight: number;
  readonly callersPerRegion: number;
  readonly seed: number;
  /** Time in which the rate grows to `ratePerS`, so that cold targets are not met with the full rate; 0 by default. */
  readonly rampUpS?: number;
  /** Longest deadline of a request in milliseconds; by default that of the service's contract. */
  readonly maxTimeoutMs?: number;
  /** Relative frequency of each service; without it the catalog's demands decide. */
  readonly weights?: Readonly<Record<string, number>>;
}

/** One finished request. */
export interface LoadSample {
  readonly serviceId: string;
  readonly callerRegionId: string;
  /** Milliseconds since the start of the load at which the request was due. */
  readonly dueAtMs: number;
  /** Milliseconds from the due time to the end. */
  readonly latencyMs: number;
  readonly result: CallResult;
}

/** A finished load. */
export interface LoadOutcome {
  readonly samples: readonly LoadSample[];
  /** Requests that were not sent, because too many were in flight. */
  readonly notSent: number;
  readonly durationMs: number;
}

/** Streams of a catalog: one per service and caller region, weighted by demand or by service. */
export function makeStreams(
  catalog: Catalog,
  weights?: Readonly<Record<string, number>>,
): readonly RequestStream[] {
  return catalog.demands.map(({serviceId, callerRegionId, requestsPerS}) => {
    const demandOfService = catalog.demands
      .filter(demand => demand.serviceId === serviceId)
      .reduce((sum, demand) => sum + demand.requestsPerS, 0);
    const weight =
      weights === undefined
        ? requestsPerS
        : (weights[serviceId] ?? 0) * (demandOfService > 0 ? requestsPerS / demandOfService : 0);
    return {serviceId, callerRegionId, weight};
  });
}

/** Runs a load to its end; all its requests have ended when the promise resolves. */
export async function runLoad(options: LoadOptions): Promise<LoadOutcome> {
  const random = seededRandom(options.seed);
  const callers = makeCallers(options);
  const run = new LoadRun(options, callers, random);
  try {
    return await run.toEnd();
  } finally {
    for (const list of callers.values()) list.forEach(caller => caller.close());
  }
}

type CallersByRegion = ReadonlyMap<string, readonly StandinCaller[]>;

function makeCallers(options: LoadOptions): CallersByRegion {
  return new Map(
    options.catalog.regions.map((region, regionIndex) => [
      region.id,
      Array.from({length: options.callersPerRegion}, (_, index) => {
        const shift = index % options.lookupAddresses.length;
        return new StandinCaller(
          {
            lookupAddresses: [
              ...options.lookupAddresses.slice(shift),
              ...options.lookupAddresses.slice(0, shift),
            ],
            localAddress: callerAddress(regionIndex, index),
            maxAttempts: 4,
            maxOutcomeQueries: 20,
            outcomeIntervalMs: 250,
          },
          systemTime,
        );
      }),
    ]),
  );
}

class LoadRun {
  private readonly samples: LoadSample[] = [];
  private readonly pending = new Set<Promise<void>>();
  private readonly services: ReadonlyMap<string, ServiceContract>;
  private readonly startedAtMs = systemTime.monotonicMs();
  private notSent = 0;
  private lastKey = 0;

  constructor(
    private readonly options: LoadOptions,
    private readonly callers: CallersByRegion,
    private readonly random: RandomSource,
  ) {
    this.services = new Map(options.catalog.services.map(service => [service.id, service]));
  }

  async toEnd(): Promise<LoadOutcome> {
    const {ratePerS, durationS, maxRequests, rampUpS = 0} = this.options;
    const streams = makeStreams(this.options.catalog, this.options.weights);
    const rampUpMs = rampUpS * 1000;
    const bounds = {ratePerS, durationMs: durationS * 1000, maxRequests, rampUpMs};
    for (const arrival of makeArrivals(streams, bounds, this.random)) {
      const waitMs = arrival.atMs - this.elapsedMs();
      if (waitMs >= 1) await new Promise(resolve => setTimeout(resolve, waitMs));
      this.send(arrival);
    }
    await Promise.all(this.pending);
    return {samples: this.samples, notSent: this.notSent, durationMs: this.elapsedMs()};
  }

  private send(arrival: Arrival): void {
    const {serviceId, callerRegionId} = arrival.stream;
    const service = this.services.get(serviceId);
    const callers = this.callers.get(callerRegionId) ?? [];
    const caller = callers[randomBelow(this.random, callers.length)];
    if (service === undefined || caller === undefined) return;
    if (this.pending.size >= this.options.maxInFlight) {
      this.notSent += 1;
      return;
    }
    this.lastKey += 1;
    const key = `load-${process.pid}-${this.options.seed}-${this.lastKey}`;
    const request = makeServiceRequest(service, key);
    const timeoutMs = Math.min(request.timeoutMs, this.options.maxTimeoutMs ?? Infinity);
    const done = caller.send({...request, timeoutMs}).then(result => {
      const latencyMs = this.elapsedMs() - arrival.atMs;
      this.samples.push({serviceId, callerRegionId, dueAtMs: arrival.atMs, latencyMs, result});
      this.pending.delete(done);
    });
    this.pending.add(done);
  }

  private elapsedMs(): number {
    return systemTime.monotonicMs() - this.startedAtMs;
  }
}
