/** Types of the policy benchmark. */
import type {TrafficClass} from '@cuminsill/types';
import type {BaselineName, BenchPolicy} from './baseline_policies';
import type {BenchService} from './bench_deployments';
import type {GroupEntry} from './entry_group';

/** Policies that can be measured. */
export type PolicyName = 'steering' | BaselineName;

/** Settings of one benchmark run. */
export interface BenchOptions {
  readonly policy: PolicyName;
  /** Offered load as a fraction of the capacity. */
  readonly load: number;
  /** Services that get load; all by default. */
  readonly serviceIds?: readonly string[];
  /** Whether target reports reach the entries after a delay or not at all. */
  readonly reports: 'late' | 'stopped';
  /** True if two targets of the first service misbehave. */
  readonly faults: boolean;
  readonly seed: number;
}

/** An entry with the policy that makes its decisions. */
export interface BenchEntry {
  readonly groupEntry: GroupEntry;
  readonly policy: BenchPolicy;
  isAlive: boolean;
  disconnectedAtMs?: number;
}

/** A request of a caller with its attempts so far. */
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
