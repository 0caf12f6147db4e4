/** Reads the flags of the runtime with which the gateway is deployed. A code cache is valid only for the same flags. */
import {readFileSync} from 'node:fs';

const runLinePattern = /^run = "node (.*) \S+"$/m;

export function deployedRuntimeFlags() {
  const [, flags = ''] = runLinePattern.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
  return flags.split(' ').filter(flag => flag !== '');
}
