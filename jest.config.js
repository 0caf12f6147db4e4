'use strict';

/** Tests run against the TypeScript sources, so that no build is needed between edit and test. */
module.exports = {
  rootDir: __dirname,
  // A busy machine must not change the verdict; a test that hangs still fails.
  testTimeout: 60_000,
  roots: ['<rootDir>/packages', '<rootDir>/platform'],
  testMatch: ['**/__tests__/**/*.test.ts'],
  testPathIgnorePatterns: ['/node_modules/', '/dist/'],
  modulePathIgnorePatterns: ['/dist/'],
  moduleNameMapper: {
    '^@cuminsill/steering/bench$': '<rootDir>/packages/steering/__fixtures__/bench.ts',
    '^@cuminsill/platform$': '<rootDir>/platform/src/index.ts',
    '^@cuminsill/([a-z_]+)$': '<rootDir>/packages/$1/src/index.ts',
  },
  // Effect keeps the current fiber on the global scope; the cleanup would wrap its properties while it still runs.
  testEnvironmentOptions: {globalsCleanup: 'off'},
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      {jsc: {parser: {syntax: 'typescript'}, target: 'es2022'}, module: {type: 'commonjs'}},
    ],
  },
};
