/**
 * Runs the whole test suite. Tests listed in KNOWN-RED.txt may fail: they are printed and do not change
 * the verdict. Any other failure fails the run, and so does a listed test that no longer exists or that
 * passes, so that the list stays true.
 *
 * An entry of KNOWN-RED.txt starts with a line `test: <file relative to the root> :: <full test name>`.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

const root = resolve(new URL('..', import.meta.url).pathname);
const knownRedFile = join(root, 'KNOWN-RED.txt');

function readKnownRed() {
  if (!existsSync(knownRedFile)) return [];
  const lines = readFileSync(knownRedFile, 'utf8').split('\n');
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
const knownRed = new Set(readKnownRed());
const failed = results.filter(test => test.status === 'failed');
const unexpected = failed.filter(test => !knownRed.has(test.id));
const stale = [...knownRed].filter(id => !failed.some(test => test.id === id));

for (const test of failed.filter(test => knownRed.has(test.id)))
  console.log(`known red: ${test.id}`);
for (const test of unexpected) console.log(`failed: ${test.id}`);
for (const suite of brokenSuites) console.log(`suite did not run: ${suite.name}`);
for (const id of stale) console.log(`listed in KNOWN-RED.txt but did not fail: ${id}`);

const passed = results.filter(test => test.status === 'passed').length;
console.log(`\n${passed} passed, ${unexpected.length + brokenSuites.length + stale.length} failed`);
const ok = unexpected.length === 0 && brokenSuites.length === 0 && stale.length === 0 && passed > 0;
process.exit(ok ? 0 : 1);
