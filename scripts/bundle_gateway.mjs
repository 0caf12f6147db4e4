/**
 * Bundles the gateway program into one file under target/, or into the file that is named as the first argument. One file without the unused parts of its libraries starts
 * several times faster than the same modules loaded one by one, and a restart is paid for in processor time.
 */
import {existsSync, readdirSync} from 'node:fs';
import {build} from 'esbuild';

/** Sources instead of compiled CommonJS, from which unused parts cannot be left out. */
const sources = Object.fromEntries(
  readdirSync('packages')
    .map(name => [`@cuminsill/${name}`, `./packages/${name}/src/index.ts`])
    .filter(([, file]) => existsSync(file)),
);

await build({
  entryPoints: ['platform/src/bin/gateway.ts'],
  outfile: process.argv[2] ?? 'target/cuminsill-gateway.js',
  bundle: true,
  alias: sources,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  sourcemap: false,
  // Optional native parts of bunyan; it does without them.
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  logLevel: 'warning',
});
