/** Settings, entries and requests of the bench. */
import type {TrafficClass} from '@cuminsill/types';
import type {BaselineName, BenchPolicy} from './baseline_policies';
import type {BenchService} from './bench_deployments';
import type {GroupEntry} from './entry_group';

/** The policy to measure. */
export type PolicyName = 'steering' | BaselineName;

/** Settings of one run. */
export interface BenchOptions {
  readonly policy: PolicyName;
  /** Offered load against the capacity. */
  readonly load: number;
  readonly serviceIds?: readonly string[];
  readonly reports: 'late' | 'stopped';
  readonly faults: boolean;
  readonly seed: number;
}

/** One entry with the policy that decides for it. */
export interface BenchEntry {
  readonly groupEntry: GroupEntry;
  readonly policy: BenchPolicy;
  isAlive: boolean;
  disconnectedAtMs?: number;
}

/** One request of a caller. */
export interface BenchRequest {
  readonly service: BenchService;
  readonly callerRegionId: string;
  readonly trafficClass: TrafficClass;
  readonly startedAtMs: number;
  readonly deadlineMs: number;
  readonly entry: BenchEntry;
  attempts: number;
  readonly excludedTargetIds: string[];
}
