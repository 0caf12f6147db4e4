/**
 * Runs an open-loop load from many stand-in callers. Latency is measured from the time at which a request was due, so
 * that the delay of requests behind a slow one is counted too (no coordinated omission).
 */
import {callerSourceAddress, StandinCaller} from '@cuminsill/standins';
import type {CallResult} from '@cuminsill/standins';
import type {Catalog, ServiceContract, SocketAddress} from '@cuminsill/types';
import {randomBelow, seededRandom, systemTime} from '@cuminsill/utils';
import type {RandomSource} from '@cuminsill/utils';
import {generateArrivals} from './arrivals';
import type {Arrival, RequestStream} from './arrivals';
import {makeServiceRequest} from './service_requests';

/** Catalog, rate, duration and bounds of a load. */
export interface LoadOptions {
  readonly catalog: Catalog;
  readonly lookupAddresses: readonly SocketAddress[];
  readonly ratePerS: number;
  readonly durationS: number;
  readonly maxRequests: number;
  /** Maximum number of requests that wait for an answer; further ones are counted as not sent. */
  readonly maxInFlight: number;
  readonly callersPerRegion: number;
  readonly seed: number;
  /** Time in which the rate grows to `ratePerS`, so that cold targets don't get the full rate at once; 0 by default. */
  readonly rampUpS?: number;
  /** Upper bound of the request timeout; by default only the service's contract limits it. */
  readonly maxTimeoutMs?: number;
  /** Relative frequency of each service; by default the catalog's demands determine it. */
  readonly weights?: Readonly<Record<string, number>>;
}

/** One finished request. */
export interface LoadSample {
  readonly serviceId: string;
  readonly callerRegionId: string;
  /** Time at which the request was due, since the start of the load. */
  readonly dueAtMs: number;
  /** Time from when the request was due until it ended. */
  readonly latencyMs: number;
  readonly result: CallResult;
}

/** Result of a finished load. */
export interface LoadResult {
  readonly samples: readonly LoadSample[];
  /** Requests that were not sent, because too many were in flight. */
  readonly notSent: number;
  readonly durationMs: number;
}

/**
 * Makes a request stream for each demand of a catalog, that is for each service and caller region. The demand is the
 * weight; with `weights`, each service's weight is divided among its streams in proportion to their demand.
 */
export function makeRequestStreams(
  catalog: Catalog,
  weights?: Readonly<Record<string, number>>,
): readonly RequestStream[] {
  return catalog.demands.map(({serviceId, callerRegionId, requestsPerS}) => {
    const serviceDemandPerS = catalog.demands
      .filter(demand => demand.serviceId === serviceId)
      .reduce((sum, demand) => sum + demand.requestsPerS, 0);
    const weight =
      weights === undefined
        ? requestsPerS
        : (weights[serviceId] ?? 0) *
          (serviceDemandPerS > 0 ? requestsPerS / serviceDemandPerS : 0);
    return {serviceId, callerRegionId, weight};
  });
}

/** Runs a load; all its requests have ended when the promise resolves. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const random = seededRandom(options.seed);
  const callers = makeCallers(options);
  const run = new LoadRun(options, callers, random);
  try {
    return await run.runToCompletion();
  } finally {
    for (const regionCallers of callers.values()) regionCallers.forEach(caller => caller.close());
  }
}

type CallersByRegion = ReadonlyMap<string, readonly StandinCaller[]>;

function makeCallers(options: LoadOptions): CallersByRegion {
  return new Map(
    options.catalog.regions.map((region, regionIndex) => [
      region.id,
      Array.from({length: options.callersPerRegion}, (_, index) => {
        const rotation = index % options.lookupAddresses.length;
        return new StandinCaller(
          {
            lookupAddresses: [
              ...options.lookupAddresses.slice(rotation),
              ...options.lookupAddresses.slice(0, rotation),
            ],
            localAddress: callerSourceAddress(regionIndex, index),
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
  private readonly pendingRequests = new Set<Promise<void>>();
  private readonly services: ReadonlyMap<string, ServiceContract>;
  private readonly startedAtMs = systemTime.monotonicMs();
  private notSent = 0;
  private lastKeyNumber = 0;

  constructor(
    private readonly options: LoadOptions,
    private readonly callers: CallersByRegion,
    private readonly random: RandomSource,
  ) {
    this.services = new Map(options.catalog.services.map(service => [service.id, service]));
  }

  async runToCompletion(): Promise<LoadResult> {
    const {ratePerS, durationS, maxRequests, rampUpS = 0} = this.options;
    const streams = makeRequestStreams(this.options.catalog, this.options.weights);
    const rampUpMs = rampUpS * 1000;
    const arrivalOptions = {ratePerS, durationMs: durationS * 1000, maxRequests, rampUpMs};
    for (const arrival of generateArrivals(streams, arrivalOptions, this.random)) {
      const waitMs = arrival.atMs - this.elapsedMs();
      if (waitMs >= 1) await new Promise(resolve => setTimeout(resolve, waitMs));
      this.sendRequest(arrival);
    }
    await Promise.all(this.pendingRequests);
    return {samples: this.samples, notSent: this.notSent, durationMs: this.elapsedMs()};
  }

  private sendRequest(arrival: Arrival): void {
    const {serviceId, callerRegionId} = arrival.stream;
    const service = this.services.get(serviceId);
    const callers = this.callers.get(callerRegionId) ?? [];
    const caller = callers[randomBelow(this.random, callers.length)];
    if (service === undefined || caller === undefined) return;
    if (this.pendingRequests.size >= this.options.maxInFlight) {
      this.notSent += 1;
      return;
    }
    this.lastKeyNumber += 1;
    const key = `load-${process.pid}-${this.options.seed}-${this.lastKeyNumber}`;
    const request = makeServiceRequest(service, key);
    const timeoutMs = Math.min(request.timeoutMs, this.options.maxTimeoutMs ?? Infinity);
    const completion = caller.send({...request, timeoutMs}).then(result => {
      const latencyMs = this.elapsedMs() - arrival.atMs;
      this.samples.push({serviceId, callerRegionId, dueAtMs: arrival.atMs, latencyMs, result});
      this.pendingRequests.delete(completion);
    });
    this.pendingRequests.add(completion);
  }

  private elapsedMs(): number {
    return systemTime.monotonicMs() - this.startedAtMs;
  }
}
