/**
 * A short run of the soak with a fixed seed. Guards against answers, refusals and runs that no fault excuses; promises with a
 * time bound are left to the runs by hand, because this verdict must not depend on how busy the machine is.
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
// A file of its own: other tests write the bundle under target/ at the same time.
const program = join(folder, 'gateway.js');
const longestRunMs = 120_000;

beforeAll(() => {
  const built = spawnSync(process.execPath, ['scripts/bundle_gateway.mjs', program], {cwd: root});
  expect(built.status).toBe(0);
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
      timed: false,
      program,
      template: readFileSync(join(root, settingsTemplateFile), 'utf8'),
      folder: join(folder, `seed-${seed}`),
    });
    expect(result.violations).toEqual([]);
    expect(result.served).toBeGreaterThan(0);
  },
  longestRunMs,
);
