/**
 * Runs the policy benchmark and prints a table, then JSON. `--scenario <text>` runs only scenarios whose names contain
 * the text, and `--steering-only` leaves the baseline policies out. Each deployment runs in its own thread.
 */
import {isMainThread, parentPort, Worker, workerData} from 'node:worker_threads';
import type {Deployment} from './bench_deployments';
import {deployments} from './bench_deployments';
import type {BenchFigures} from './bench_metrics';
import {BenchRun} from './bench_run';
import {scenarios} from './bench_scenarios';
import type {PolicyName} from './bench_types';

interface ResultRow extends BenchFigures {
  readonly deployment: string;
  readonly scenario: string;
  readonly policy: PolicyName;
  readonly cap: number;
}

const baselineNames: readonly PolicyName[] = ['random', 'round-robin', 'least-in-flight'];

function argumentValue(name: string): string {
  const index = process.argv.indexOf(name);
  return index < 0 ? '' : (process.argv[index + 1] ?? '');
}

function percent(value: number): string {
  return `${(value * 100).toFixed(1)}%`;
}

function runDeployment(deployment: Deployment): readonly ResultRow[] {
  const rows: ResultRow[] = [];
  const scenarioFilter = argumentValue('--scenario');
  const onlySteering = process.argv.includes('--steering-only');
  for (const scenario of scenarios.filter(({name}) => name.includes(scenarioFilter))) {
    const policies: readonly PolicyName[] =
      scenario.includesBaselines && !onlySteering ? ['steering', ...baselineNames] : ['steering'];
    for (const policy of policies) {
      const run = new BenchRun(deployment, {
        policy,
        load: scenario.load,
        serviceIds: deployment.services.slice(0, scenario.serviceCount).map(({id}) => id),
        reports: scenario.reports ?? 'late',
        faults: true,
        seed: 7,
      });
      scenario.scheduleEvents?.(run, deployment);
      const figures = run.run(scenario.durationS);
      const {name} = deployment;
      rows.push({
        deployment: name,
        scenario: scenario.name,
        policy,
        cap: scenario.cap,
        ...figures,
      });
    }
  }
  return rows;
}

function printTable(rows: readonly ResultRow[]): void {
  console.table(
    rows.map(row => ({
      deployment: row.deployment,
      scenario: row.scenario,
      policy: row.policy,
      goodput: percent(row.goodputShare),
      interactive: percent(row.answeredShare.interactive),
      upload: percent(row.answeredShare.upload),
      batch: percent(row.answeredShare.batch),
      'endpoint peak': percent(row.endpointPeakShare),
      'region peak': percent(row.regionPeakShare),
      moved: `${percent(row.movedShare)} of ${percent(row.cap)}`,
      shed: percent(row.shedShare),
      failed: percent(row.failedShare),
      'int. p50/p99': `${row.latencyMs.interactive.p50}/${row.latencyMs.interactive.p99}`,
      'upl. p50/p99': `${row.latencyMs.upload.p50}/${row.latencyMs.upload.p99}`,
      'batch p50/p99': `${row.latencyMs.batch.p50}/${row.latencyMs.batch.p99}`,
    })),
  );
}

function runInThread(index: number): Promise<readonly ResultRow[]> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(__filename, {argv: process.argv.slice(2), workerData: index});
    worker.once('message', resolve);
    worker.once('error', reject);
  });
}

async function main(): Promise<void> {
  const results = await Promise.all(deployments.map((_, index) => runInThread(index)));
  printTable(results.flat());
  console.log(JSON.stringify(results.flat()));
}

if (isMainThread) {
  void main();
} else {
  const deployment = deployments[workerData as number];
  parentPort?.postMessage(deployment === undefined ? [] : runDeployment(deployment));
}
