/**
 * Runs another program in this process and, on SIGUSR2, writes `process.memoryUsage()` to a file. Arguments: the file
 * to write, the program's file, and the arguments of the program.
 */
import {renameSync, writeFileSync} from 'node:fs';
import {resolve} from 'node:path';

/** JavaScript file of this program, for starting a process with it. */
export const memoryReporterFile = __filename;

function runWithMemoryReporter(reportFile: string, programFile: string): void {
  process.on('SIGUSR2', () => {
    // The rename is atomic, so the reader never sees a partial report.
    writeFileSync(`${reportFile}.new`, JSON.stringify(process.memoryUsage()));
    renameSync(`${reportFile}.new`, reportFile);
  });
  process.argv.splice(1, 2);
  process.argv[1] = resolve(programFile);
  void import(resolve(programFile));
}

if (require.main === module) {
  const [, , reportFile = '', program = ''] = process.argv;
  runWithMemoryReporter(reportFile, program);
}
