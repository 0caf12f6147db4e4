/**
 * Runs another program in this process and, on SIGUSR2, writes `process.memoryUsage()` to a file. The first argument is
 * the file to write, the second the program; the others are passed on.
 */
import {renameSync, writeFileSync} from 'node:fs';
import {resolve} from 'node:path';

/** Built file of this program. */
export const memoryReporterFile = __filename;

function runWithReporter(reportFile: string, program: string): void {
  process.on('SIGUSR2', () => {
    // Renaming keeps the reader from seeing half a report.
    writeFileSync(`${reportFile}.new`, JSON.stringify(process.memoryUsage()));
    renameSync(`${reportFile}.new`, reportFile);
  });
  process.argv.splice(1, 2);
  process.argv[1] = resolve(program);
  void import(resolve(program));
}

if (require.main === module) {
  const [, , reportFile = '', program = ''] = process.argv;
  runWithReporter(reportFile, program);
}
