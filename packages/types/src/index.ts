/** Read-only domain objects and the numbered result codes that all packages share. */
export * from './configuration';
export * from './intent';
export * from './membership';
export * from './operator_api';
export * from './reports';
export * from './result_codes';
export * from './service';
export * from './topology';
