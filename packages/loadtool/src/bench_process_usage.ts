/** Reads CPU time and memory use of the processes that the benchmark measures. */
import {existsSync, readFileSync, rmSync} from 'node:fs';
import type {ProcessCommand, ManagedProcess} from './managed_process';
import {memoryReporterFile} from './bench_memory_reporter';
import {waitFor} from './operator_client';

/** Linux reports CPU time in clock ticks, which last 1/100 s on all common architectures. */
const msPerClockTick = 10;
const memoryReportTimeoutMs = 5000;

/** Memory use of one process. */
export interface MemoryMeasurement {
  readonly name: string;
  readonly residentBytes: number;
  /** Used part of the JavaScript heap. */
  readonly heapUsedBytes: number;
  /** Size of the JavaScript heap. */
  readonly heapTotalBytes: number;
}

/** Returns the user and system CPU time of a process since its start, in milliseconds. */
export function readCpuTimeMs(processId: number): number {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  // Starts after the second field, the program's name in parentheses, because that name may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * msPerClockTick;
}

/** Wraps a command so that its process writes its memory use to a file on SIGUSR2. */
export function withMemoryReporter(command: ProcessCommand, reportFile: string): ProcessCommand {
  return {...command, file: memoryReporterFile, args: [reportFile, command.file, ...command.args]};
}

/** Measures the memory use of a process that was started with {@link withMemoryReporter}. */
export async function measureMemory(
  child: ManagedProcess,
  reportFile: string,
): Promise<MemoryMeasurement> {
  rmSync(reportFile, {force: true});
  child.sendSignal('SIGUSR2');
  const report = await waitFor('the memory report', memoryReportTimeoutMs, () =>
    Promise.resolve(readMemoryReport(reportFile)),
  );
  return {
    name: child.name,
    residentBytes: child.readResidentBytes(),
    heapUsedBytes: report.heapUsed,
    heapTotalBytes: report.heapTotal,
  };
}

function readMemoryReport(file: string): NodeJS.MemoryUsage | undefined {
  return existsSync(file)
    ? (JSON.parse(readFileSync(file, 'utf8')) as NodeJS.MemoryUsage)
    : undefined;
}
