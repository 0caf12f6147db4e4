/** Simulates the attempts per request with and without the retry budget; prints a Markdown table. */
import {runRetryCase} from './retry_model';

const targets = 20;
const requests = 100_000;
const maxAttempts = 3;

console.log('| failing targets | attempts, no budget | answered | attempts, budget | answered |');
console.log('| --- | --- | --- | --- | --- |');
for (const failingTargets of [0, 1, 2, 4, 6, 10, 14, 18, 19, 20]) {
  const runCells = (hasBudget: boolean) => {
    const settings = {targets, failingTargets, requests, maxAttempts, hasBudget, seed: 1};
    const {attemptsPerRequest, answeredFraction} = runRetryCase(settings);
    return `${attemptsPerRequest.toFixed(4)} | ${(answeredFraction * 100).toFixed(2)}%`;
  };
  const failingPercent = `${((failingTargets / targets) * 100).toFixed(0)}%`;
  console.log(`| ${failingPercent} | ${runCells(false)} | ${runCells(true)} |`);
}
