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
import console from 'node:console';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {mean, sampleStandardDeviation} from 'simple-statistics';
import {buildProgram, partNames, playDay, runPool} from './bench_plays.mjs';

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

async function playAll() {
  const {bench, site, repository, cpu, why} = options;
  const results = [];
  const tasks = options.days.split(',').flatMap(day =>
    options.seeds.split(',').map(seed => async () => {
      const result = await playDay({bench, site, repository, day, seed, cpu, why});
      results.push(result);
      console.log(`${day} ${seed}: ${result.worth} ${result.broken ?? ''}`);
    }),
  );
  await buildProgram(bench, repository);
  await runPool(tasks, Number(options.jobs));
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
