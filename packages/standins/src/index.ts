/** Stand-ins for what the platform and the callers provide, for tests, the demo and benchmarks. */
export * from './memory_store';
