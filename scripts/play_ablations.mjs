/**
 * Switches off one mechanism after the other on scratch copies of the repository, plays the same days with and without it,
 * and prints what each is worth. The figures are trials.
 *
 * Usage: node scripts/play_ablations.mjs --bench PROGRAM --site FILE --scratch DIRECTORY --out RESULTS.json [--days NAME,...]
 *   [--seeds N,...] [--jobs N] [--cpu] [--only NAME]
 */
import console from 'node:console';
import {cp, mkdir, readFile, rm, utimes, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {mean, sampleStandardDeviation} from 'simple-statistics';
import {ablations} from './ablations.mjs';
import {buildProgram, playDay, runPool} from './bench_plays.mjs';

const {values: options} = parseArgs({
  options: {
    bench: {type: 'string'},
    site: {type: 'string'},
    scratch: {type: 'string'},
    out: {type: 'string'},
    days: {type: 'string', default: 'trouble-1,trouble-2,trouble-3'},
    seeds: {type: 'string', default: '0'},
    jobs: {type: 'string', default: '7'},
    cpu: {type: 'boolean', default: false},
    only: {type: 'string'},
  },
});

const notCopied = new Set(['target', 'dist', 'coverage', '.cache']);
const unchanged = {name: 'all mechanisms', instead: '', changes: []};

async function copyRepository(directory) {
  await rm(directory, {recursive: true, force: true});
  await mkdir(directory, {recursive: true});
  await cp('.', directory, {
    recursive: true,
    verbatimSymlinks: true,
    preserveTimestamps: true,
    filter: source =>
      source.includes('node_modules') || !source.split('/').some(part => notCopied.has(part)),
  });
  // The build installs the libraries again if they look older than the lock file.
  const now = new Date();
  await utimes(join(directory, 'node_modules'), now, now);
}

async function applyChange(directory, {file, find, replace}) {
  const path = join(directory, file);
  const text = await readFile(path, 'utf8');
  if (!text.includes(find)) throw new Error(`${file} does not contain: ${find}`);
  await writeFile(path, text.replace(find, replace));
}

async function prepare(ablation, index) {
  const repository = join(options.scratch, `ablation-${index}`);
  await copyRepository(repository);
  for (const change of ablation.changes) await applyChange(repository, change);
  const isBuilt = await buildProgram(options.bench, repository);
  if (!isBuilt) throw new Error(`${ablation.name} does not build`);
  return {...ablation, repository, results: []};
}

const chosen = ablations.filter(({name}) => options.only === undefined || name === options.only);
const variants = [];
const preparations = [unchanged, ...chosen].map((ablation, index) => async () => {
  variants[index] = await prepare(ablation, index);
});
await runPool(preparations, Number(options.jobs));
const tasks = variants.flatMap(variant =>
  options.days.split(',').flatMap(day =>
    options.seeds.split(',').map(seed => async () => {
      const {bench, site, cpu} = options;
      const why = `trial: without ${variant.name === unchanged.name ? 'any change' : variant.name}`;
      const {repository} = variant;
      variant.results.push(await playDay({bench, site, repository, day, seed, cpu, why}));
    }),
  ),
);
await runPool(tasks, Number(options.jobs));

const [reference, ...others] = variants;
function differences(variant, key) {
  return variant.results.map(result => {
    const same = reference.results.find(
      ({day, seed}) => day === result.day && seed === result.seed,
    );
    return result[key] - same[key];
  });
}
const rows = others.map(variant => {
  const worth = differences(variant, 'worth');
  const spread = worth.length > 1 ? sampleStandardDeviation(worth) / Math.sqrt(worth.length) : 0;
  const broken = variant.results.flatMap(result => result.broken ?? []);
  return {
    without: variant.name,
    worth: mean(worth).toFixed(3),
    'standard error': spread.toFixed(3),
    windows: mean(differences(variant, 'windows')).toFixed(3),
    domain: mean(differences(variant, 'domain')).toFixed(3),
    broken: broken.join('; '),
  };
});
console.table(rows);
await writeFile(options.out, JSON.stringify(variants, null, 1));
process.exit(0);
