/** Admission as it was before ranks and workspaces, which must stay the same for deployments without workspaces. */
import type {AdmissionInput} from '../src/admission';

/** Returns the time after which a refused request may be retried; undefined when the request is sent. */
export function formerRetryAfterMs(input: AdmissionInput): number | undefined {
  const {expectedMs, minExpectedMs, waitMs, remainingMs, latencyBudgetMs, priority} = input;
  const serviceTimeMs = expectedMs - waitMs;
  const neededMs = waitMs > 0 ? expectedMs : minExpectedMs;
  if (neededMs > remainingMs) return retryAfterMs(neededMs - remainingMs, input);
  const waitFraction = Math.max(0.5, 1 - 0.12 * priority);
  const maxWaitMs = Math.max(
    serviceTimeMs * 0.6 * waitFraction,
    (latencyBudgetMs - serviceTimeMs) * waitFraction,
  );
  return waitMs <= maxWaitMs ? undefined : retryAfterMs(waitMs - maxWaitMs, input);
}

function retryAfterMs(excessMs: number, {waitMs, jitter}: AdmissionInput): number {
  return Math.max(150, Math.min(excessMs, waitMs)) * (1 + jitter * 0.5);
}
