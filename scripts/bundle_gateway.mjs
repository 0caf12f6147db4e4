/**
 * Bundles the gateway: a launcher, `target/cuminsill-gateway.js` or the path given as the first argument, and beside it the
 * program in one file and its V8 code cache. The bundle leaves out unused code of the libraries, so the gateway starts several
 * times faster than with one file per module. The code cache saves each start the compilation of what it needs.
 *
 * An earlier bundle is removed first: after a build that fails, nothing can be started, rather than an earlier version.
 */
import {execFileSync} from 'node:child_process';
import console from 'node:console';
import {existsSync, readdirSync, rmSync} from 'node:fs';
import {createRequire} from 'node:module';
import {resolve} from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {sendRequest, startGateway} from './gateway_on_standins.mjs';
import {deployedRuntimeFlags} from './runtime_flags.mjs';

const require = createRequire(import.meta.url);
const launcherFile = resolve(process.argv[2] ?? 'target/cuminsill-gateway.js');
const programFile = launcherFile.replace(/\.js$/, '.program.js');
const codeCacheFile = launcherFile.replace(/\.js$/, '.cache');
const standinsFile = launcherFile.replace(/\.js$/, '.standins.js');
/** Makes the launcher write the code cache when the program exits. */
const writeCacheOption = '--write-code-cache';

/** Requests that the gateway serves before its code cache is written. */
const warmUpRequests = 400;
const concurrentRequests = 8;
const objectCount = 40;
const warmUpTimeoutMs = 60_000;

for (const file of [launcherFile, programFile, codeCacheFile]) rmSync(file, {force: true});

/** Maps each package to its TypeScript sources, because unused code cannot be removed from compiled CommonJS. */
const sourceByPackage = Object.fromEntries(
  readdirSync('packages')
    .map(name => [`@cuminsill/${name}`, `./packages/${name}/src/index.ts`])
    .filter(([, file]) => existsSync(file)),
);

async function bundle(entryPoint, outfile) {
  // Not imported at the start, where missing packages would end the build before the earlier program is removed.
  const {build} = await import('esbuild');
  return build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    alias: sourceByPackage,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    minifySyntax: true,
    define: {GATEWAY_BUILD_VERSION: JSON.stringify(buildVersion())},
    sourcemap: false,
    // Optional dependencies of bunyan, which works without them.
    external: ['dtrace-provider', 'mv', 'source-map-support'],
    logLevel: 'warning',
  });
}

/** The commit that is built, which the program logs at its start. */
function buildVersion() {
  try {
    // Not the repository of a folder above.
    const args = ['--git-dir=.git', 'describe', '--always', '--dirty'];
    return execFileSync('git', args, {
      encoding: 'utf8',
      stdio: ['ignore', 'pipe', 'ignore'],
    }).trim();
  } catch {
    return 'unknown';
  }
}

function warmUpRequest(number) {
  const isRead = number % 3 > 0;
  const headers = {
    Host: 'one.example',
    'Request-Id': `w-${number}`,
    'Deadline-Ms': '2000',
    Cookie: `Affinity-Key=${number % objectCount}`,
  };
  return isRead
    ? {path: '/read/x', headers}
    : {path: '/book/x', method: 'POST', headers, body: 'a body'};
}

async function serveWarmUpRequests(port) {
  let next = 0;
  const sendOneByOne = async () => {
    while (next < warmUpRequests) {
      next += 1;
      await sendRequest(port, warmUpRequest(next));
    }
  };
  await Promise.all(Array.from({length: concurrentRequests}, sendOneByOne));
}

async function writeCodeCache() {
  await bundle('packages/standins/src/index.ts', standinsFile);
  const command = [...deployedRuntimeFlags(), launcherFile, writeCacheOption];
  const gateway = await startGateway(require(standinsFile), command);
  await serveWarmUpRequests(gateway.ports.front);
  await gateway.stop();
  rmSync(standinsFile);
}

await bundle('platform/src/bin/launcher.ts', launcherFile);
await bundle('platform/src/bin/gateway.ts', programFile);
// The gateway starts without a code cache too, so a failure here must not prevent its deployment.
const hasTimedOut = wait(warmUpTimeoutMs, 'time-out', {ref: false});
const failure = await Promise.race([writeCodeCache(), hasTimedOut]).catch(error => error);
if (failure !== undefined) console.error('the code cache was not written:', failure);
process.exit(0);
