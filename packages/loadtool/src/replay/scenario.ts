/** Interface between the replay of a trace and a kind of scenario. */
import type {ManualTime} from '@cuminsill/utils';
import type {TraceEvent, TraceExpectation, TraceHeader} from './trace_file';

/** A running scenario. Its clock moves only when the replay advances it to the next line of the trace. */
export interface Scenario {
  /** Applies an event. Rejects with InvalidDataError for an event that this kind of scenario does not know. */
  apply(event: TraceEvent): Promise<void>;
  /** Returns the actual value for an expectation, as JSON data. */
  observe(expectation: TraceExpectation): Promise<unknown>;
}

/** Starts a scenario of one kind on a manual clock. */
export type ScenarioFactory = (header: TraceHeader, time: ManualTime) => Scenario;
