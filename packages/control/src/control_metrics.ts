/** Metrics of a control process: gauges that are set once a second, and counters of claim answers. */
import type {ClaimAuthority, ClaimShardCounts} from '@cuminsill/claims';
import type {ConfigSync} from '@cuminsill/config_sync';
import type {Metrics} from '@cuminsill/logger';
import type {Membership} from '@cuminsill/membership';
import type {TimeSource} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';

const gaugeIntervalMs = 1000;
const reachabilities = ['reachable', 'suspect', 'unreachable'] as const;

/** Where the gauges are read from and written to. */
export interface ControlGaugeSources {
  readonly membership: Pick<Membership, 'members'>;
  readonly configSync: Pick<ConfigSync, 'current' | 'onAdopt' | 'storeContactAgeMs'>;
  readonly claimShardCounts: () => readonly ClaimShardCounts[];
  readonly metrics: Metrics;
  readonly time: TimeSource;
}

/** Sets all gauges at a fixed interval until interrupted. */
export function reportControlGauges(sources: ControlGaugeSources): Effect.Effect<never> {
  return Effect.suspend(() => {
    let adoptedAtMs = sources.time.monotonicMs();
    sources.configSync.onAdopt(() => (adoptedAtMs = sources.time.monotonicMs()));
    return Effect.sync(() => setControlGauges(sources, adoptedAtMs)).pipe(
      Effect.zipRight(Effect.sleep(Duration.millis(gaugeIntervalMs))),
      Effect.forever,
    );
  });
}

/** Sets every gauge once; `adoptedAtMs` is the monotonic time of the last adoption, or of the start. */
export function setControlGauges(sources: ControlGaugeSources, adoptedAtMs: number): void {
  const {membership, configSync, claimShardCounts, metrics, time} = sources;
  const members = membership.members();
  for (const reachability of reachabilities) {
    const count = members.filter(member => member.reachability === reachability).length;
    metrics.gauge('members', count, {reachability});
  }
  metrics.gauge('config.version', configSync.current().version);
  metrics.gauge('config.adopted_age_ms', time.monotonicMs() - adoptedAtMs);
  const storeContactAgeMs = configSync.storeContactAgeMs();
  if (storeContactAgeMs !== undefined) metrics.gauge('store.contact_age_ms', storeContactAgeMs);
  const shardCounts = claimShardCounts();
  const sumOverShards = (field: keyof (typeof shardCounts)[number]) =>
    shardCounts.reduce((sum, shard) => sum + shard[field], 0);
  metrics.gauge('claims.appends', sumOverShards('appends'));
  metrics.gauge('claims.takeovers', sumOverShards('takeovers'));
  metrics.gauge('claims.step_downs', sumOverShards('stepDowns'));
  metrics.gauge('claims.checkpoint_failures', sumOverShards('checkpointFailures'));
}

/** Wraps a claim authority so that its answers are counted by call and state. */
export function instrumentedClaims(claims: ClaimAuthority, metrics: Metrics): ClaimAuthority {
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
