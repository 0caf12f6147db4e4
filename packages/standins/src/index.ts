/** Stand-ins for what the platform and the callers provide, for tests, the demo and benchmarks. */
export * from './caller';
export * from './deployment';
export * from './example_files';
export * from './free_ports';
export * from './http_exchange';
export * from './http_tools';
export * from './instance_list_server';
export * from './memory_store';
export * from './settings';
export * from './store_server';
export * from './target';
export * from './target_answer';
export * from './target_fleet';
export * from './target_mode';
export * from './instance_settings';
export * from './virtual_time';
export * from './users_platform';
