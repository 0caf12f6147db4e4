/** Scenarios of the policy benchmark. */
import type {ConfirmedIntent} from '@cuminsill/types';
import type {Deployment} from './bench_deployments';
import type {BenchRun} from './bench_run';
import type {BenchOptions} from './bench_types';
import {makeRouteIntent} from './fleets';

/** A scenario of the policy benchmark. */
export interface Scenario {
  readonly name: string;
  readonly durationS: number;
  readonly load: number;
  /** Cap of the moves, which the table shows beside the moved share. */
  readonly cap: number;
  /** Number of services that get load, counted from the first; all by default. */
  readonly serviceCount?: number;
  readonly reports?: BenchOptions['reports'];
  /** True if the baseline policies run the scenario too. */
  readonly includesBaselines: boolean;
  /** Schedules the events of the scenario, such as the loss of a region. */
  readonly scheduleEvents?: (run: BenchRun, deployment: Deployment) => void;
}

/** Makes an intent that moves all traffic of a service from the first region to another one. */
function makeFullMove(
  run: BenchRun,
  deployment: Deployment,
  serviceIndex: number,
  toRegionIndex: number,
  maxMovedShare: number,
): ConfirmedIntent {
  const [from = ''] = deployment.regionIds;
  const to = deployment.regionIds[toRegionIndex] ?? '';
  return makeRouteIntent(
    deployment.services[serviceIndex]?.id ?? '',
    from,
    [{regionId: to, share: 1}],
    [{regionId: from, share: 1}],
    {
      id: `move-${serviceIndex}`,
      maxMovedShare,
      confirmedAtMs: run.loop.nowMs(),
      version: 2 + serviceIndex,
    },
  );
}

/** All scenarios of the policy benchmark. */
export const scenarios: readonly Scenario[] = [
  {name: 'normal, 70% load', durationS: 120, load: 0.7, cap: 0.25, includesBaselines: true},
  {
    name: 'normal, reports stopped',
    durationS: 120,
    load: 0.7,
    cap: 0.25,
    reports: 'stopped',
    includesBaselines: false,
  },
  {name: 'twice the capacity', durationS: 120, load: 2, cap: 0.25, includesBaselines: true},
  {
    name: 'region lost and cold return',
    durationS: 240,
    load: 0.6,
    cap: 0.25,
    includesBaselines: true,
    scheduleEvents: (run, {regionIds}) => {
      run.schedule(60, () => run.loseRegion(regionIds[1] ?? ''));
      run.schedule(120, () => run.returnRegion(regionIds[1] ?? ''));
    },
  },
  {
    name: 'two regions lost',
    durationS: 120,
    load: 0.6,
    cap: 0.25,
    includesBaselines: true,
    scheduleEvents: (run, {regionIds}) => {
      run.schedule(40, () => run.loseRegion(regionIds[1] ?? ''));
      run.schedule(50, () => run.loseRegion(regionIds[2] ?? ''));
    },
  },
  {
    name: 'whole move of one service',
    durationS: 600,
    load: 0.4,
    cap: 0.25,
    serviceCount: 2,
    includesBaselines: true,
    scheduleEvents: (run, deployment) => {
      run.schedule(70, () => run.setIntents([makeFullMove(run, deployment, 0, 1, 0.25)]));
    },
  },
  {
    name: 'two moves',
    durationS: 600,
    load: 0.4,
    cap: 0.25,
    serviceCount: 2,
    includesBaselines: false,
    scheduleEvents: (run, deployment) => {
      run.schedule(70, () => {
        const first = makeFullMove(run, deployment, 0, 1, 0.25);
        run.setIntents([first]);
        run.schedule(100, () => run.setIntents([first, makeFullMove(run, deployment, 1, 2, 0.25)]));
      });
    },
  },
  {
    name: 'entry cut off for an hour',
    durationS: 4000,
    load: 0.1,
    cap: 0.25,
    serviceCount: 1,
    includesBaselines: false,
    scheduleEvents: (run, deployment) => {
      run.schedule(70, () => run.setIntents([makeFullMove(run, deployment, 0, 1, 0.25)]));
      run.schedule(130, () => run.cutOff(0));
      run.schedule(3730, () => run.reconnect(0));
    },
  },
];
