/** Load generator, benchmark and replay of traces. */
export * from './arrivals';
export * from './bench';
export * from './bench_report';
export * from './load_report';
export * from './run_load';
export * from './load_settings';
export * from './replay/replay_trace';
export * from './replay/scenario';
export * from './replay/scenario_factories';
export * from './replay/trace_file';
