/** Loads for the simulation of admission. */
import type {AdmissionLoad} from './admission_simulation';

/** Twice the capacity, in three ranks with equal work, from 20 workspaces whose sizes differ by a factor of 69. */
export const overload: AdmissionLoad = {
  seed: 1,
  gateways: 4,
  targets: 8,
  slots: 4,
  queueLength: 12,
  loadRatio: 2,
  durationMs: 100_000,
  warmUpMs: 20_000,
  deadlineMs: 4_000,
  kinds: [
    {fractionOfWork: 1 / 3, serviceTimeMs: 444, targetLatencyMs: 900},
    {fractionOfWork: 1 / 3, serviceTimeMs: 444, targetLatencyMs: 900},
    {fractionOfWork: 1 / 3, serviceTimeMs: 444, targetLatencyMs: 2_137},
  ],
  workspaceSizes: Array.from({length: 20}, (_value, index) => 0.8 ** index),
  returns: {count: 0, afterMs: 0},
};

/** The most urgent kind has the shortest objective and accepts the shortest wait, as on the deployment with workspaces. */
export const mixedOverload: AdmissionLoad = {
  ...overload,
  kinds: [
    {fractionOfWork: 1 / 3, serviceTimeMs: 444, targetLatencyMs: 446},
    {fractionOfWork: 1 / 3, serviceTimeMs: 700, targetLatencyMs: 900},
    {fractionOfWork: 1 / 3, serviceTimeMs: 1_371, targetLatencyMs: 2_137},
  ],
};

/** Refused callers return at once and often, whatever `Retry-After` says. */
export const impatientReturns = {count: 8, afterMs: 50};
