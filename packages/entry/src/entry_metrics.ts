/** Gauges of an entry process, set once a second. Metrics per request are recorded where the request is handled. */
import type {Metrics} from '@cuminsill/logger';
import type {Steering} from '@cuminsill/steering';
import {Duration, Effect} from 'effect';
import type {ControlLink} from './control_link';
import type {EntryView} from './entry_view';

const gaugeIntervalMs = 1000;

/** Components whose state the gauges show. */
export interface EntryGaugeSources {
  readonly steering: Pick<Steering, 'loads' | 'movedShares'>;
  readonly view: Pick<EntryView, 'configuration'>;
  readonly controlLink: Pick<ControlLink, 'currentContactAgeMs'>;
  readonly metrics: Metrics;
}

/** Sets all gauges at a fixed interval until interrupted. */
export function reportEntryGauges(sources: EntryGaugeSources): Effect.Effect<never> {
  return Effect.sync(() => setEntryGauges(sources)).pipe(
    Effect.zipRight(Effect.sleep(Duration.millis(gaugeIntervalMs))),
    Effect.forever,
  );
}

/** Sets every gauge once. */
export function setEntryGauges({steering, view, controlLink, metrics}: EntryGaugeSources): void {
  for (const load of steering.loads()) {
    const tags = {service: load.serviceId, region: load.targetRegionId};
    metrics.gauge('slots.held', load.heldSlots, tags);
    metrics.gauge('slots.in_flight', load.inFlight, tags);
    metrics.gauge('queue.waiting', load.queued, tags);
  }
  for (const route of steering.movedShares()) {
    const tags = {service: route.serviceId, caller_region: route.callerRegionId};
    metrics.gauge('routes.moved_share', route.movedShare, tags);
    metrics.gauge('routes.max_moved_share', route.maxMovedShare, tags);
  }
  metrics.gauge('config.version', view.configuration.version);
  metrics.gauge('control.contact_age_ms', controlLink.currentContactAgeMs());
}
