/** Measures the targets that a poison request takes down, with and without the guard, as a Markdown table. */
import {runPoisonCase} from './poison_model';
import type {PoisonCase} from './poison_model';

const gossipDelaysMs = [0, 500, 1_000, 2_000, 5_000];
const retryIntervalsMs = [0, 500, 1_000, 2_000, 5_000];
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const base = {
  entries: 10,
  targets: 12,
  crashMs: 50,
  restartMs: 10_000,
  durationMs: 60_000,
};

function largestLoss(given: Omit<PoisonCase, 'seed' | 'order'>): number {
  const losses = seeds.flatMap(seed =>
    (['round-robin', 'random'] as const).map(
      order => runPoisonCase({...given, seed, order}).targetsLost,
    ),
  );
  return Math.max(...losses);
}

for (const callers of [1, 4]) {
  console.log(`\n${callers} caller(s); largest loss of ${seeds.length} seeds and two orders\n`);
  const head = retryIntervalsMs.map(ms => `${ms / 1000} s`).join(' | ');
  console.log(`| gossip delay | ${head} |`);
  console.log(`| --- | ${retryIntervalsMs.map(() => '---').join(' | ')} |`);
  for (const gossipDelayMs of gossipDelaysMs) {
    const cells = retryIntervalsMs.map(retryIntervalMs =>
      largestLoss({...base, callers, gossipDelayMs, retryIntervalMs, guarded: true}),
    );
    console.log(`| ${gossipDelayMs / 1000} s | ${cells.join(' | ')} |`);
  }
  const without = retryIntervalsMs.map(retryIntervalMs =>
    largestLoss({...base, callers, gossipDelayMs: 0, retryIntervalMs, guarded: false}),
  );
  console.log(`| without the guard | ${without.join(' | ')} |`);
}

const oneTarget = {...base, targets: 1, callers: 1, gossipDelayMs: 0, retryIntervalMs: 1_000};
const [withGuard, withoutGuard] = [true, false].map(guarded =>
  largestLoss({...oneTarget, guarded}),
);
console.log(
  `\none target only, interval 1 s: ${withGuard} with the guard, ${withoutGuard} without`,
);
