/**
 * Exits with 1 if the installed packages cannot build the gateway here. The bundler is native code, so that packages that were
 * installed on another kind of machine cannot.
 */
import process from 'node:process';

try {
  const {transformSync} = await import('esbuild');
  transformSync('');
} catch {
  process.exit(1);
}
