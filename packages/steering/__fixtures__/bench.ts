/** Public interface of the policy benchmark, for the replay of traces. Imported as `@cuminsill/steering/bench`. */
export {deployments} from './bench_deployments';
export type {Deployment} from './bench_deployments';
export type {BenchFigures} from './bench_metrics';
export {BenchRun} from './bench_run';
export type {TargetFault} from './bench_targets';
export {makeRouteIntent} from './fleets';
