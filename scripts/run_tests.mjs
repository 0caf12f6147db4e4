/**
 * Runs the whole test suite. Failures of tests listed in KNOWN-RED.txt are printed but do not fail the run. Any other
 * failure fails it, and so does a listed test that passes or no longer exists, so that the list stays up to date.
 *
 * An entry of KNOWN-RED.txt starts with a line `test: <file relative to the root> :: <full test name>`.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

const root = resolve(new URL('..', import.meta.url).pathname);
const knownFailuresFile = join(root, 'KNOWN-RED.txt');

function readKnownFailures() {
  if (!existsSync(knownFailuresFile)) return [];
  const lines = readFileSync(knownFailuresFile, 'utf8').split('\n');
  return lines
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

const reportFile = join(mkdtempSync(join(tmpdir(), 'cuminsill-')), 'report.json');
const jest = spawnSync(
  process.execPath,
  [
    join(root, 'node_modules/jest/bin/jest.js'),
    '--json',
    `--outputFile=${reportFile}`,
    ...process.argv.slice(2),
  ],
  {cwd: root, stdio: ['ignore', 'inherit', 'inherit']},
);
if (!existsSync(reportFile)) process.exit(jest.status || 1);

const report = JSON.parse(readFileSync(reportFile, 'utf8'));
const results = report.testResults.flatMap(suite =>
  suite.assertionResults.map(test => ({
    id: `${suite.name.slice(root.length + 1)} :: ${test.fullName}`,
    status: test.status,
  })),
);
const brokenSuites = report.testResults.filter(
  suite =>
    suite.status === 'failed' && suite.assertionResults.every(test => test.status !== 'failed'),
);
const knownFailures = new Set(readKnownFailures());
const failed = results.filter(test => test.status === 'failed');
const unexpectedFailures = failed.filter(test => !knownFailures.has(test.id));
const staleEntries = [...knownFailures].filter(id => !failed.some(test => test.id === id));

for (const test of failed.filter(test => knownFailures.has(test.id)))
  console.log(`known red: ${test.id}`);
for (const test of unexpectedFailures) console.log(`failed: ${test.id}`);
for (const suite of brokenSuites) console.log(`suite did not run: ${suite.name}`);
for (const id of staleEntries) console.log(`listed in KNOWN-RED.txt but did not fail: ${id}`);

const passed = results.filter(test => test.status === 'passed').length;
console.log(
  `\n${passed} passed, ${unexpectedFailures.length + brokenSuites.length + staleEntries.length} failed`,
);
const hasPassed =
  unexpectedFailures.length === 0 &&
  brokenSuites.length === 0 &&
  staleEntries.length === 0 &&
  passed > 0;
process.exit(hasPassed ? 0 : 1);
