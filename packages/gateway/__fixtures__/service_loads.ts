/** Realistic loads for the simulation of a service. */
import type {ServiceLoad} from './service_load';

/** Reading proofs: each region requests its own objects, and one region has few targets. */
export const proofLoad: ServiceLoad = {
  seed: 1,
  regions: [
    {gateways: 3, targets: 6},
    {gateways: 3, targets: 2},
    {gateways: 4, targets: 6},
  ],
  requestsPerS: 222,
  durationMs: 20_000,
  slots: 5,
  queueLength: 15,
  cacheSize: 49,
  objectCount: 55,
  hasObjectsPerRegion: true,
  serviceTimeMs: 360,
  cachedSavingFraction: 0.7,
  interRegionDelayMs: 55,
  targetLatencyMs: 400,
  deadlineMs: 2_000,
  initialQueueLength: 0,
};

/** Availability queries: all regions request the same objects, and a target caches at most a third of them. */
export const availabilityLoad: ServiceLoad = {
  ...proofLoad,
  regions: [
    {gateways: 3, targets: 4},
    {gateways: 3, targets: 4},
    {gateways: 3, targets: 4},
  ],
  requestsPerS: 120,
  slots: 3,
  queueLength: 9,
  cacheSize: 25,
  objectCount: 73,
  hasObjectsPerRegion: false,
  serviceTimeMs: 480,
  interRegionDelayMs: 12,
  targetLatencyMs: 300,
  deadlineMs: 2_500,
};

/** Reads from the archive: long service times, callers that accept a long wait, and little capacity in one region. */
export const archiveLoad: ServiceLoad = {
  ...proofLoad,
  regions: [
    {gateways: 3, targets: 6},
    {gateways: 3, targets: 2},
    {gateways: 4, targets: 4},
  ],
  requestsPerS: 32,
  durationMs: 35_000,
  slots: 3,
  queueLength: 9,
  cacheSize: 25,
  objectCount: 24,
  serviceTimeMs: 1_440,
  targetLatencyMs: 1_000,
  deadlineMs: 4_000,
};

/** Objects of a service whose targets are divided 5 : 1 : 4 between three regions, while demand is a wave in each. */
export const unevenRegionsLoad: ServiceLoad = {
  ...proofLoad,
  regions: [
    {gateways: 12, targets: 45},
    {gateways: 12, targets: 9},
    {gateways: 12, targets: 36},
  ],
  requestsPerS: 290,
  durationMs: 108_000,
  slots: 4,
  cacheSize: 23,
  objectCount: 160,
  serviceTimeMs: 1_199,
  targetLatencyMs: 1_004,
  deadlineMs: 4_200,
  wave: {periodMs: 36_000, amplitude: 0.55},
  slowdown: {fraction: 0.15, factor: 2.5, durationMs: 600},
  longRequests: {fraction: 0.03, factor: 7},
};
