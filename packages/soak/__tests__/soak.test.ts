/**
 * Short soak runs with fixed seeds. They guard against wrong answers, refusals and runs, which no fault can justify.
 * Promises with a time bound are checked only in manual runs, because the result of this test must not depend on the
 * load of the machine.
 */
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {settingsTemplateFile} from '@cuminsill/standins';
import type {ProfileName} from '../src';
import {runSoak} from '../src';

const root = resolve(__dirname, '../../..');
const folder = mkdtempSync(join(tmpdir(), 'cuminsill-soak-'));
// Not the bundle under target/, because other tests may write it at the same time.
const program = join(folder, 'gateway.js');
const testTimeoutMs = 120_000;

beforeAll(() => {
  const buildResult = spawnSync(process.execPath, ['scripts/bundle_gateway.mjs', program], {
    cwd: root,
  });
  expect(buildResult.status).toBe(0);
});

const cases: ReadonlyArray<readonly [seed: number, profile: ProfileName]> = [
  [0, 'planned'],
  [1, 'mixed'],
];

test.each(cases)(
  'keeps every promise without a time bound under the faults of seed %d (%s)',
  async (seed, profile) => {
    const result = await runSoak({
      seed,
      profile,
      durationMs: 3_000,
      gatewayCount: 3,
      callerCount: 6,
      includesTimedChecks: false,
      programPath: program,
      templateText: readFileSync(join(root, settingsTemplateFile), 'utf8'),
      folder: join(folder, `seed-${seed}`),
    });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  },
  testTimeoutMs,
);
