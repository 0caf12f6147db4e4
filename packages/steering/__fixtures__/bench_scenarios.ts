/** Scenarios of the policy bench. */
import type {ConfirmedIntent} from '@cuminsill/types';
import type {Deployment} from './bench_deployments';
import type {BenchRun} from './bench_run';
import type {BenchOptions} from './bench_types';
import {makeRouteIntent} from './fleets';

/** One scenario. */
export interface Scenario {
  readonly name: string;
  readonly durationS: number;
  readonly load: number;
  /** Cap of the moves, for the table. */
  readonly cap: number;
  /** Number of services that get load; all by default. */
  readonly services?: number;
  readonly reports?: BenchOptions['reports'];
  readonly baselines: boolean;
  readonly prepare?: (run: BenchRun, deployment: Deployment) => void;
}

/** Moves one service from the first region to another, wholly. */
function wholeMove(
  run: BenchRun,
  deployment: Deployment,
  serviceIndex: number,
  toRegion: number,
  maxMovedShare: number,
): ConfirmedIntent {
  const [from = ''] = deployment.regionIds;
  const to = deployment.regionIds[toRegion] ?? '';
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

/** All scenarios. */
export const scenarios: readonly Scenario[] = [
  {name: 'normal, 70% load', durationS: 120, load: 0.7, cap: 0.25, baselines: true},
  {
    name: 'normal, reports stopped',
    durationS: 120,
    load: 0.7,
    cap: 0.25,
    reports: 'stopped',
    baselines: false,
  },
  {name: 'twice the capacity', durationS: 120, load: 2, cap: 0.25, baselines: true},
  {
    name: 'region lost and cold return',
    durationS: 240,
    load: 0.6,
    cap: 0.25,
    baselines: true,
    prepare: (run, {regionIds}) => {
      run.at(60, () => run.loseRegion(regionIds[1] ?? ''));
      run.at(120, () => run.returnRegion(regionIds[1] ?? ''));
    },
  },
  {
    name: 'two regions lost',
    durationS: 120,
    load: 0.6,
    cap: 0.25,
    baselines: true,
    prepare: (run, {regionIds}) => {
      run.at(40, () => run.loseRegion(regionIds[1] ?? ''));
      run.at(50, () => run.loseRegion(regionIds[2] ?? ''));
    },
  },
  {
    name: 'whole move of one service',
    durationS: 600,
    load: 0.4,
    cap: 0.25,
    services: 2,
    baselines: true,
    prepare: (run, deployment) => {
      run.at(70, () => run.setIntents([wholeMove(run, deployment, 0, 1, 0.25)]));
    },
  },
  {
    name: 'two moves',
    durationS: 600,
    load: 0.4,
    cap: 0.25,
    services: 2,
    baselines: false,
    prepare: (run, deployment) => {
      run.at(70, () => {
        const first = wholeMove(run, deployment, 0, 1, 0.25);
        run.setIntents([first]);
        run.at(100, () => run.setIntents([first, wholeMove(run, deployment, 1, 2, 0.25)]));
      });
    },
  },
  {
    name: 'entry cut off for an hour',
    durationS: 4000,
    load: 0.1,
    cap: 0.25,
    services: 1,
    baselines: false,
    prepare: (run, deployment) => {
      run.at(70, () => run.setIntents([wholeMove(run, deployment, 0, 1, 0.25)]));
      run.at(130, () => run.cutOff(0));
      run.at(3730, () => run.reconnect(0));
    },
  },
];
