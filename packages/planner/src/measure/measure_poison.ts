/** Simulates how many targets a poison request crashes with and without the guard; prints Markdown tables. */
import {runPoisonCase} from './poison_model';
import type {PoisonCase} from './poison_model';

const gossipDelaysMs = [0, 500, 1_000, 2_000, 5_000];
const retryIntervalsMs = [0, 500, 1_000, 2_000, 5_000];
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const baseCase = {
  entries: 10,
  targets: 12,
  crashMs: 50,
  restartMs: 10_000,
  durationMs: 60_000,
};

function largestLoss(poisonCase: Omit<PoisonCase, 'seed' | 'entryOrder'>): number {
  const losses = seeds.flatMap(seed =>
    (['round-robin', 'random'] as const).map(
      entryOrder => runPoisonCase({...poisonCase, seed, entryOrder}).targetsLost,
    ),
  );
  return Math.max(...losses);
}

for (const callers of [1, 4]) {
  console.log(`\n${callers} caller(s); largest loss of ${seeds.length} seeds and two orders\n`);
  const headerCells = retryIntervalsMs.map(ms => `${ms / 1000} s`).join(' | ');
  console.log(`| gossip delay | ${headerCells} |`);
  console.log(`| --- | ${retryIntervalsMs.map(() => '---').join(' | ')} |`);
  for (const gossipDelayMs of gossipDelaysMs) {
    const cells = retryIntervalsMs.map(retryIntervalMs =>
      largestLoss({...baseCase, callers, gossipDelayMs, retryIntervalMs, hasGuard: true}),
    );
    console.log(`| ${gossipDelayMs / 1000} s | ${cells.join(' | ')} |`);
  }
  const cellsWithoutGuard = retryIntervalsMs.map(retryIntervalMs =>
    largestLoss({...baseCase, callers, gossipDelayMs: 0, retryIntervalMs, hasGuard: false}),
  );
  console.log(`| without the guard | ${cellsWithoutGuard.join(' | ')} |`);
}

const oneTargetCase = {
  ...baseCase,
  targets: 1,
  callers: 1,
  gossipDelayMs: 0,
  retryIntervalMs: 1_000,
};
const [lossWithGuard, lossWithoutGuard] = [true, false].map(hasGuard =>
  largestLoss({...oneTargetCase, hasGuard}),
);
console.log(
  `\none target only, interval 1 s: ${lossWithGuard} with the guard, ${lossWithoutGuard} without`,
);
