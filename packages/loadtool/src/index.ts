/** Load generator, bench, demo and replay of traces. */
export * from './arrivals';
export * from './bench';
export * from './bench_report';
export * from './load_report';
export * from './load_run';
export * from './load_settings';
export * from './replay/replay_trace';
export * from './replay/scenario';
export * from './replay/scenario_kinds';
export * from './replay/trace_file';
