/** Processor time and memory of the processes that the bench measures. */
import {existsSync, readFileSync, rmSync} from 'node:fs';
import type {ChildCommand, RunningChild} from './child_process';
import {memoryReporterFile} from './bench_memory_reporter';
import {waitFor} from './operators_client';

/** Linux reports processor time in ticks of 1/100 s on all common architectures. */
const msPerTick = 10;
const memoryReportLimitMs = 5000;

/** Memory of one process. */
export interface MemoryMeasurement {
  readonly name: string;
  readonly residentBytes: number;
  /** Part of the JavaScript heap in use, in bytes. */
  readonly heapUsedBytes: number;
  /** Size of the JavaScript heap, in bytes. */
  readonly heapTotalBytes: number;
}

/** User and system time of a process since its start, in milliseconds. */
export function processorTimeMs(processId: number): number {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  // The second field is the program's name in brackets and may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * msPerTick;
}

/** The same command with a signal handler that writes the memory use of the process to a file. */
export function withMemoryReporter(command: ChildCommand, reportFile: string): ChildCommand {
  return {...command, file: memoryReporterFile, args: [reportFile, command.file, ...command.args]};
}

/** Asks a process that was started with the memory reporter for its memory use. */
export async function measureMemory(
  child: RunningChild,
  reportFile: string,
): Promise<MemoryMeasurement> {
  rmSync(reportFile, {force: true});
  child.signal('SIGUSR2');
  const report = await waitFor('the memory report', memoryReportLimitMs, () =>
    Promise.resolve(readReport(reportFile)),
  );
  return {
    name: child.name,
    residentBytes: child.residentBytes(),
    heapUsedBytes: report.heapUsed,
    heapTotalBytes: report.heapTotal,
  };
}

function readReport(file: string): NodeJS.MemoryUsage | undefined {
  return existsSync(file)
    ? (JSON.parse(readFileSync(file, 'utf8')) as NodeJS.MemoryUsage)
    : undefined;
}
