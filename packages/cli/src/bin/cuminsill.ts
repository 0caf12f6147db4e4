#!/usr/bin/env node
/** `cuminsill`: the operators' command line. */
import {processIo} from '../cli_io';
import {runCli} from '../run_cli';

void runCli(process.argv.slice(2), processIo).then(exitCode => {
  process.exitCode = exitCode;
});
