/** Validation of settings, API bodies and stored data. */
export * from './decode';
export * from './domain_schemas';
export * from './fields';
export * from './settings';
export * from './operator_schemas';
export * from './tls_files';
