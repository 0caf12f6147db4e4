/** Measures attempts per request with and without the retry budget and prints a Markdown table. */
import {runRetryCase} from './retry_model';

const targets = 20;
const requests = 100_000;
const maxAttempts = 3;

console.log('| failing targets | attempts, no budget | answered | attempts, budget | answered |');
console.log('| --- | --- | --- | --- | --- |');
for (const failingTargets of [0, 1, 2, 4, 6, 10, 14, 18, 19, 20]) {
  const run = (budgeted: boolean) => {
    const settings = {targets, failingTargets, requests, maxAttempts, budgeted, seed: 1};
    const {attemptsPerRequest, answeredShare} = runRetryCase(settings);
    return `${attemptsPerRequest.toFixed(4)} | ${(answeredShare * 100).toFixed(2)}%`;
  };
  const failing = `${((failingTargets / targets) * 100).toFixed(0)}%`;
  console.log(`| ${failing} | ${run(false)} | ${run(true)} |`);
}
