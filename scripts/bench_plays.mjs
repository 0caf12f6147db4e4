/** Plays days on the users' bench and reads their results from its report. */
import {spawn} from 'node:child_process';

/** Keys of a result's parts, with their names in the report. */
export const partNames = {
  whole: 'whole day',
  windows: 'worst windows',
  kind: 'worst class',
  domain: 'worst zone',
  atAll: 'served at all',
};

/** Builds the program of a repository, so that plays do not build it at the same time. */
export function buildProgram(bench, repository) {
  const child = spawn(bench, ['build'], {cwd: repository, stdio: 'ignore'});
  return new Promise(resolve => child.once('exit', code => resolve(code === 0)));
}

/** Plays one day; seed 0 plays it as it is written. Without `cpu` the bench does not count processor time. */
export function playDay({bench, site, repository, day, seed, cpu, why}) {
  const seedFlags = seed === '0' ? [] : ['--vary', '--seed', seed];
  const cpuFlags = cpu ? [] : ['--no-cpu'];
  const flags = [...seedFlags, ...cpuFlags, '--jobs', '1', '--why', why];
  const child = spawn(bench, ['run', site, day, ...flags], {cwd: repository});
  let output = '';
  child.stdout.on('data', chunk => (output += chunk));
  child.stderr.on('data', chunk => (output += chunk));
  return new Promise(resolve =>
    child.once('exit', () => resolve({day, seed, ...readResult(output)})),
  );
}

/** Runs tasks, at most `limit` at a time. */
export async function runPool(tasks, limit) {
  const waiting = [...tasks];
  const runNext = async () => {
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) await next();
  };
  await Promise.all(Array.from({length: limit}, runNext));
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
