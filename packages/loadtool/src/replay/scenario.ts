/** What a kind of scenario provides for the replay of a trace. */
import type {ManualTime} from '@cuminsill/utils';
import type {TraceEvent, TraceExpectation, TraceHeader} from './trace_file';

/** One running scenario. Its clock stands still between two lines of the trace. */
export interface Scenario {
  /** Lets an event happen. Throws InvalidDataError for an event that the kind does not know. */
  apply(event: TraceEvent): Promise<void>;
  /** The value that the expectation is compared with, as JSON data. */
  observe(expectation: TraceExpectation): Promise<unknown>;
}

/** Starts a scenario of one kind. */
export type ScenarioKind = (header: TraceHeader, time: ManualTime) => Scenario;
