/**
 * Records exceptions of the gateway's own code. Each is caught where it concerns the fewest requests: at one exchange, one
 * request or one feed, and for the rest at the process.
 */
import type {DecisionLog} from './decision_log';
import type {GatewayMetrics} from './gateway_metrics';

/** Where an exception was caught. */
export type DefectPlace = 'request' | 'answer' | 'feed' | 'process';

/** Logs and counts defects. */
export class Defects {
  constructor(
    private readonly log: Pick<DecisionLog, 'event'>,
    private readonly metrics: Pick<GatewayMetrics, 'defectCaught'>,
  ) {}

  /** Logs and counts an exception, with the place where it was caught. */
  record(place: DefectPlace, error: unknown): void {
    this.metrics.defectCaught(place);
    this.log.event('defect', {place, cause: causeOf(error)});
  }
}

function causeOf(error: unknown): string {
  return error instanceof Error ? (error.stack ?? String(error)) : String(error);
}
