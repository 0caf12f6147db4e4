/**
 * Plays the same days and seeds of a deployment on the users' bench before and after a change, and compares the results in
 * pairs: differences of single days are noise, while pairs over several seeds decide.
 *
 * Usage:
 *   node scripts/play_days.mjs play --bench PROGRAM --site FILE --out RESULTS.json [--repository DIRECTORY] [--days NAME,...]
 *     [--seeds N,...] [--jobs N] [--cpu] [--why TEXT]
 *   node scripts/play_days.mjs compare BEFORE.json AFTER.json
 *
 * Without `--cpu` the bench does not count processor time, so that a day mostly repeats. Seed 0 plays a day as it is written.
 */
import {spawn} from 'node:child_process';
import console from 'node:console';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {mean, sampleStandardDeviation} from 'simple-statistics';

const {values: options, positionals} = parseArgs({
  allowPositionals: true,
  options: {
    bench: {type: 'string'},
    site: {type: 'string'},
    out: {type: 'string'},
    repository: {type: 'string', default: '.'},
    days: {type: 'string', default: 'trouble-1,trouble-2,trouble-3,scale-1'},
    seeds: {type: 'string', default: '0,7101,7102'},
    jobs: {type: 'string', default: '6'},
    cpu: {type: 'boolean', default: false},
    why: {type: 'string', default: 'pairs of days'},
  },
});

const partNames = {
  whole: 'whole day',
  windows: 'worst windows',
  kind: 'worst class',
  domain: 'worst zone',
  atAll: 'served at all',
};

function play(day, seed) {
  const seedFlags = seed === '0' ? [] : ['--vary', '--seed', seed];
  const cpuFlags = options.cpu ? [] : ['--no-cpu'];
  const flags = [...seedFlags, ...cpuFlags, '--jobs', '1', '--why', options.why];
  const child = spawn(options.bench, ['run', options.site, day, ...flags], {
    cwd: options.repository,
  });
  let output = '';
  child.stdout.on('data', chunk => (output += chunk));
  child.stderr.on('data', chunk => (output += chunk));
  return new Promise(resolve =>
    child.once('exit', () => resolve({day, seed, ...readResult(output)})),
  );
}

/** Reads worth, its parts and broken rules from the report of a day. */
function readResult(output) {
  const [, worth] = /^worth (-?[\d.]+) = /m.exec(output) ?? [];
  const parts = Object.entries(partNames).map(([key, name]) => {
    const [, value] = new RegExp(`${name} (-?[\\d.]+) \\(weight`).exec(output) ?? [];
    return [key, Number(value)];
  });
  const [, broken] = /BROKEN: (.*)$/m.exec(output) ?? [];
  return {worth: Number(worth), ...Object.fromEntries(parts), broken, output};
}

async function playAll() {
  const plays = options.days
    .split(',')
    .flatMap(day => options.seeds.split(',').map(seed => ({day, seed})));
  const results = [];
  const playNext = async () => {
    for (let next = plays.shift(); next !== undefined; next = plays.shift()) {
      const result = await play(next.day, next.seed);
      results.push(result);
      console.log(`${result.day} ${result.seed}: ${result.worth} ${result.broken ?? ''}`);
    }
  };
  // The first play builds the program; the others find it built.
  const first = plays.shift();
  results.push(await play(first.day, first.seed));
  await Promise.all(Array.from({length: Number(options.jobs)}, playNext));
  writeFileSync(options.out, JSON.stringify(results, null, 1));
  console.log(`mean ${mean(results.map(({worth}) => worth)).toFixed(3)}`);
}

function compare(beforeFile, afterFile) {
  const [before, after] = [beforeFile, afterFile].map(file =>
    JSON.parse(readFileSync(file, 'utf8')),
  );
  const columns = ['worth', ...Object.keys(partNames)];
  const pairs = before.flatMap(first => {
    const second = after.find(({day, seed}) => day === first.day && seed === first.seed);
    return second === undefined ? [] : [{first, second}];
  });
  const rows = pairs.map(({first, second}) => ({
    day: `${first.day} ${first.seed}`,
    before: first.worth,
    after: second.worth,
    ...Object.fromEntries(
      columns.map(name => [`d ${name}`, Number((second[name] - first[name]).toFixed(3))]),
    ),
    broken: second.broken ?? '',
  }));
  console.table(rows);
  for (const name of columns) {
    const differences = pairs.map(({first, second}) => second[name] - first[name]);
    const error = sampleStandardDeviation(differences) / Math.sqrt(differences.length);
    console.log(
      `${name}: mean difference ${mean(differences).toFixed(3)}, standard error ${error.toFixed(3)}`,
    );
  }
}

const verbs = {play: playAll, compare};
const [verb, ...files] = positionals;
const run = verbs[verb];
if (run === undefined) {
  console.error('name a verb: play or compare');
  process.exit(2);
}
await run(...files);
