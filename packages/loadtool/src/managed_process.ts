/** Child processes of the demo and the benchmark. Each prints a JSON line with `"ready":true` once it listens. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';

/** A Node program to start, with its arguments. */
export interface ProcessCommand {
  /** Name for messages. */
  readonly name: string;
  /** Compiled JavaScript file. */
  readonly file: string;
  readonly args: readonly string[];
}

const maxKeptStderrLength = 4000; // enough for a stack trace in the error of a failed start
const killTimeoutMs = 20_000; // longer than a graceful stop of an entry with the demo's longest request timeout

const runningChildren = new Set<ChildProcess>();

/** Kills all child processes when this process exits, and makes it exit on SIGINT and SIGTERM. */
export function killChildrenOnExit(): void {
  process.once('exit', () => runningChildren.forEach(child => child.kill('SIGKILL')));
  process.once('SIGINT', () => process.exit(130));
  process.once('SIGTERM', () => process.exit(143));
}

/** A child process that is ready. */
export class ManagedProcess {
  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    /** The parsed line that it printed when it was ready. */
    readonly readyMessage: Readonly<Record<string, unknown>>,
  ) {}

  /** Starts a process and waits for its ready line. Rejects when the process exits before. */
  static start(command: ProcessCommand): Promise<ManagedProcess> {
    return new Promise((resolve, reject) => {
      const child = spawn(process.execPath, [command.file, ...command.args], {
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      runningChildren.add(child);
      child.once('exit', () => runningChildren.delete(child));
      let stderrTail = '';
      child.stderr.on('data', (chunk: Buffer) => {
        stderrTail = (stderrTail + chunk.toString('utf8')).slice(-maxKeptStderrLength);
      });
      child.once('error', reject);
      child.once('exit', (code, signal) =>
        reject(
          new Error(
            `${command.name} exited with ${code ?? signal} before it was ready: ${stderrTail}`,
          ),
        ),
      );
      createInterface({input: child.stdout}).on('line', line => {
        const message = parseReadyLine(line);
        if (message !== undefined) resolve(new ManagedProcess(command.name, child, message));
      });
    });
  }

  /** Process id, for example to read the CPU time of the process. */
  get processId(): number {
    return this.child.pid ?? 0;
  }

  /** Reads the resident memory of the process from `/proc`. */
  readResidentBytes(): number {
    const status = readFileSync(`/proc/${this.processId}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) * 1024;
  }

  /** Sends a signal to this process. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Sends SIGTERM and waits for the exit; returns false when the process had to be killed with SIGKILL. */
  async stop(): Promise<boolean> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return true;
    const exited = new Promise<void>(resolve => this.child.once('exit', () => resolve()));
    const timer = setTimeout(() => this.child.kill('SIGKILL'), killTimeoutMs);
    this.child.kill('SIGTERM');
    await exited;
    clearTimeout(timer);
    return this.child.signalCode !== 'SIGKILL';
  }
}

/** Parses a ready line; returns undefined for any other line. */
export function parseReadyLine(line: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value = JSON.parse(line) as Record<string, unknown> | null;
    return value?.['ready'] === true ? value : undefined;
  } catch {
    return undefined;
  }
}
