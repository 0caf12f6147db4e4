/** Gauges of a control process, set once a second, and counters of the answers to claims. */
import type {ClaimAuthority, ClaimShardCounts} from '@cuminsill/claims';
import type {ConfigSync} from '@cuminsill/config_sync';
import type {Metrics} from '@cuminsill/logger';
import type {Membership} from '@cuminsill/membership';
import type {TimeSource} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';

const intervalMs = 1000;
const reachabilities = ['reachable', 'suspect', 'unreachable'] as const;

/** What the gauges are taken from. */
export interface ControlGaugeSources {
  readonly membership: Pick<Membership, 'members'>;
  readonly configSync: Pick<ConfigSync, 'current' | 'onAdopt' | 'storeContactAgeMs'>;
  readonly claimCounts: () => readonly ClaimShardCounts[];
  readonly metrics: Metrics;
  readonly time: TimeSource;
}

/** Sets the gauges until it is interrupted. */
export function reportControlGauges(sources: ControlGaugeSources): Effect.Effect<never> {
  return Effect.suspend(() => {
    let adoptedAtMs = sources.time.monotonicMs();
    sources.configSync.onAdopt(() => (adoptedAtMs = sources.time.monotonicMs()));
    return Effect.sync(() => setControlGauges(sources, adoptedAtMs)).pipe(
      Effect.zipRight(Effect.sleep(Duration.millis(intervalMs))),
      Effect.forever,
    );
  });
}

/** Sets every gauge once. */
export function setControlGauges(sources: ControlGaugeSources, adoptedAtMs: number): void {
  const {membership, configSync, claimCounts, metrics, time} = sources;
  const members = membership.members();
  for (const reachability of reachabilities) {
    const count = members.filter(member => member.reachability === reachability).length;
    metrics.gauge('members', count, {reachability});
  }
  metrics.gauge('config.version', configSync.current().version);
  metrics.gauge('config.adopted_age_ms', time.monotonicMs() - adoptedAtMs);
  const storeAgeMs = configSync.storeContactAgeMs();
  if (storeAgeMs !== undefined) metrics.gauge('store.contact_age_ms', storeAgeMs);
  const counts = claimCounts();
  const sum = (field: keyof (typeof counts)[number]) =>
    counts.reduce((total, shard) => total + shard[field], 0);
  metrics.gauge('claims.appends', sum('appends'));
  metrics.gauge('claims.takeovers', sum('takeovers'));
  metrics.gauge('claims.step_downs', sum('stepDowns'));
  metrics.gauge('claims.checkpoint_failures', sum('checkpointFailures'));
}

/** A claim authority that counts its answers. */
export function meteredClaims(claims: ClaimAuthority, metrics: Metrics): ClaimAuthority {
  const counted = <A>(call: string, answer: Effect.Effect<A>, stateOf: (answer: A) => string) =>
    Effect.tap(answer, value =>
      Effect.sync(() => metrics.count('claims.answers', 1, {call, state: stateOf(value)})),
    );
  return {
    claim: request => counted('claim', claims.claim(request), answer => answer.state),
    complete: (key, claimId, outcome) =>
      counted('complete', claims.complete(key, claimId, outcome), answer => answer),
    outcomeOf: key => counted('outcome', claims.outcomeOf(key), answer => answer.state),
  };
}
