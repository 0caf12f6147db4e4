/** Bundles the project's stand-ins from their sources into one file for the scripts of the cases. */
import {existsSync, readdirSync} from 'node:fs';
import {build} from 'esbuild';

const sourceByPackage = Object.fromEntries(
  readdirSync('packages')
    .map(name => [`@cuminsill/${name}`, `./packages/${name}/src/index.ts`])
    .filter(([, file]) => existsSync(file)),
);

await build({
  entryPoints: ['packages/standins/src/index.ts'],
  outfile: 'review/dist/standins.js',
  bundle: true,
  alias: sourceByPackage,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  logLevel: 'warning',
});
