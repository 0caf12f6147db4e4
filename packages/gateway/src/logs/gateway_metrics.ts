/** Counters and latency histograms, served as text in the Prometheus format. */
import type {KeyLeaseStatus} from '../key_lease';
import type {RefusalReason} from '../admission';
import type {DefectPlace} from './defects';
import type {FeedState} from '../store/feed_progress';
import type {TargetCount} from '../targets/target_state';
import type {PipelineLimit} from '../requests/request_pipeline';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Upper bounds of the latency histogram, from a short look-up to a long report. */
const latencyBucketsS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2.5, 5, 10];

/**
 * Metrics of one gateway. Label values are few: configured routes and services, and fixed sets of outcomes and
 * states.
 */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'cuminsill_requests_total',
    help: 'Requests by route and outcome',
    labelNames: ['route', 'outcome'],
    registers: [this.registry],
  });
  private readonly requestDurations = new Histogram({
    name: 'cuminsill_request_seconds',
    help: 'Time from the head of a request to its final answer, by route',
    labelNames: ['route'],
    buckets: latencyBucketsS,
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: 'cuminsill_tries_total',
    help: 'Tries at targets by service and end',
    labelNames: ['service', 'end'],
    registers: [this.registry],
  });
  private readonly coldSends = new Counter({
    name: 'cuminsill_cold_requests_total',
    help: 'Requests sent to targets that counted as cold, by service',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly storeCalls = new Counter({
    name: 'cuminsill_store_calls_total',
    help: 'Calls to the store by kind of object and result',
    labelNames: ['kind', 'result'],
    registers: [this.registry],
  });
  private readonly poisonEvents = new Counter({
    name: 'cuminsill_poison_events_total',
    help: 'Evidence of requests that crash targets, by what became of it',
    labelNames: ['event'],
    registers: [this.registry],
  });
  private readonly suspicionsLeftOut = new Counter({
    name: 'cuminsill_suspicions_left_out_total',
    help: 'New or changed suspicions that a heartbeat had no room for, summed over heartbeats',
    registers: [this.registry],
  });
  private readonly bodyBytes = new Gauge({
    name: 'cuminsill_body_bytes',
    help: 'Bytes of the bodies of requests and answers that the gateway holds',
    registers: [this.registry],
  });
  private readonly defects = new Counter({
    name: 'cuminsill_defects_total',
    help: "Exceptions of the gateway's own code, by the place where they were caught",
    labelNames: ['place'],
    registers: [this.registry],
  });
  private readonly droppedMessages = new Counter({
    name: 'cuminsill_coordination_dropped_total',
    help: 'Messages of other gateways that were dropped, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly quotaVerdicts = new Counter({
    name: 'cuminsill_quota_verdicts_total',
    help: 'Requests of limited workspaces by verdict',
    labelNames: ['verdict'],
    registers: [this.registry],
  });
  private readonly quotaMessages = new Counter({
    name: 'cuminsill_quota_messages_total',
    help: 'Messages about quotas sent to other gateways, by kind',
    labelNames: ['kind'],
    registers: [this.registry],
  });
  private readonly admissionRefusals = new Counter({
    name: 'cuminsill_admission_refused_total',
    help: 'Requests that were refused for want of capacity at the targets, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly pausedConnections = new Counter({
    name: 'cuminsill_connections_paused_total',
    help: 'Times that reading from a connection of a caller was paused, by the limit that it had reached',
    labelNames: ['limit'],
    registers: [this.registry],
  });
  private readonly inFlight = new Gauge({
    name: 'cuminsill_requests_in_flight',
    help: 'Requests without a final answer',
    registers: [this.registry],
  });
  private readonly targets = new Gauge({
    name: 'cuminsill_targets',
    help: 'Listed targets by service and state',
    labelNames: ['service', 'state'],
    registers: [this.registry],
  });
  private readonly gateways = new Gauge({
    name: 'cuminsill_gateways',
    help: 'Gateways that the store lists, and those of them that count as alive, by state; includes this one',
    labelNames: ['state'],
    registers: [this.registry],
  });

  private readonly isolated = new Gauge({
    name: 'cuminsill_isolated',
    help: '1 while the gateway reaches no target itself and other gateways relay its requests',
    registers: [this.registry],
  });
  private readonly storeAnswerAges = new Gauge({
    name: 'cuminsill_store_answer_age_seconds',
    help: 'Time since the last answer of the store, by kind of object; a watch without changes is answered at the end of its wait',
    labelNames: ['kind'],
    registers: [this.registry],
  });

  private readonly freshnessAge = new Gauge({
    name: 'cuminsill_store_freshness_age_seconds',
    help: 'Time for which changes in the store may be unknown to this gateway',
    registers: [this.registry],
  });
  private readonly storeEvidenceResults = new Counter({
    name: 'cuminsill_store_evidence_total',
    help: 'Evidence of the state of the store from other gateways, by what became of it',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly keyLeaseAge = new Gauge({
    name: 'cuminsill_key_lease_age_seconds',
    help: 'Time since the confirmed read of the store was sent on which the lease on the keys depends',
    registers: [this.registry],
  });
  private readonly keyEvidenceResults = new Counter({
    name: 'cuminsill_key_evidence_total',
    help: 'Evidence for the lease on the keys, from the store and from other gateways, by what became of it',
    labelNames: ['result'],
    registers: [this.registry],
  });

  requestStarted(): void {
    this.inFlight.inc();
  }

  requestEnded(route: string, outcome: string, elapsedMs: number): void {
    this.inFlight.dec();
    this.requests.inc({route, outcome});
    this.requestDurations.observe({route}, elapsedMs / 1000);
  }

  addAttempt(service: string, end: string): void {
    this.attempts.inc({service, end});
  }

  coldSend(service: string): void {
    this.coldSends.inc({service});
  }

  storeCallEnded(kind: string, result: string): void {
    this.storeCalls.inc({kind, result});
  }

  poisonEvent(event: string): void {
    this.poisonEvents.inc({event});
  }

  addSuspicionsLeftOut(count: number): void {
    this.suspicionsLeftOut.inc(count);
  }

  defectCaught(place: DefectPlace): void {
    this.defects.inc({place});
  }

  coordinationDropped(reason: string): void {
    this.droppedMessages.inc({reason});
  }

  keyEvidence(result: string): void {
    this.keyEvidenceResults.inc({result});
  }

  storeEvidence(result: string): void {
    this.storeEvidenceResults.inc({result});
  }

  setFreshnessAge(ageMs: number | undefined): void {
    if (ageMs !== undefined) this.freshnessAge.set(ageMs / 1000);
  }

  setBodyBytes(bytes: number): void {
    this.bodyBytes.set(bytes);
  }

  setKeyLease({ageMs}: KeyLeaseStatus): void {
    if (ageMs !== undefined) this.keyLeaseAge.set(ageMs / 1000);
  }

  quotaVerdict(verdict: string): void {
    this.quotaVerdicts.inc({verdict});
  }

  quotaMessage(kind: string): void {
    this.quotaMessages.inc({kind});
  }

  admissionRefused(reason: RefusalReason): void {
    this.admissionRefusals.inc({reason});
  }

  connectionPaused(limit: PipelineLimit): void {
    this.pausedConnections.inc({limit});
  }

  /** Replaces the target counts of the previous call. */
  setTargetCounts(counts: readonly TargetCount[]): void {
    this.targets.reset();
    for (const {service, state, count} of counts) this.targets.set({service, state}, count);
  }

  setGatewayCounts(counts: {readonly listed: number; readonly alive: number}): void {
    this.gateways.set({state: 'listed'}, counts.listed);
    this.gateways.set({state: 'alive'}, counts.alive);
  }

  setIsolated(isIsolated: boolean): void {
    this.isolated.set(isIsolated ? 1 : 0);
  }

  setStoreAnswerAges(feeds: readonly FeedState[]): void {
    for (const {kind, ageMs} of feeds) {
      if (ageMs !== undefined) this.storeAnswerAges.set({kind}, ageMs / 1000);
    }
  }

  /** Returns all metrics in the text format. */
  render(): Promise<string> {
    return this.registry.metrics();
  }
}
