/** Processes of the demo and the bench. Each prints one JSON line with `"ready":true` when it listens. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';

/** A program to start. */
export interface ChildCommand {
  readonly name: string;
  /** Built JavaScript file. */
  readonly file: string;
  readonly args: readonly string[];
}

const maxKeptErrorBytes = 4000; // enough for a stack trace in the message of a failed start
const killAfterMs = 20_000; // longer than a graceful stop of an entry with its longest deadline in the demo

const childrenAlive = new Set<ChildProcess>();

/** Ends the process on a signal, and with it all processes that it started. */
export function endWithChildrenOnSignal(): void {
  process.once('exit', () => childrenAlive.forEach(child => child.kill('SIGKILL')));
  process.once('SIGINT', () => process.exit(130));
  process.once('SIGTERM', () => process.exit(143));
}

/** A process that is ready. */
export class RunningChild {
  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    /** The line that it printed when it was ready. */
    readonly ready: Readonly<Record<string, unknown>>,
  ) {}

  /** Starts a process and waits for its ready line. Fails when it ends before. */
  static start(command: ChildCommand): Promise<RunningChild> {
    return new Promise((resolve, reject) => {
      const child = spawn(process.execPath, [command.file, ...command.args], {
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      childrenAlive.add(child);
      child.once('exit', () => childrenAlive.delete(child));
      let errors = '';
      child.stderr.on('data', (chunk: Buffer) => {
        errors = (errors + chunk.toString('utf8')).slice(-maxKeptErrorBytes);
      });
      child.once('error', reject);
      child.once('exit', (code, signal) =>
        reject(new Error(`${command.name} ended with ${code ?? signal} before ready: ${errors}`)),
      );
      createInterface({input: child.stdout}).on('line', line => {
        const ready = parseReadyLine(line);
        if (ready !== undefined) resolve(new RunningChild(command.name, child, ready));
      });
    });
  }

  /** Id of the process. */
  get processId(): number {
    return this.child.pid ?? 0;
  }

  /** Resident memory in bytes. */
  residentBytes(): number {
    const status = readFileSync(`/proc/${this.processId}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) * 1024;
  }

  /** Sends a signal to this process. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Stops the process and waits for its end; returns false when it had to be killed. */
  async stop(): Promise<boolean> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) return true;
    const ended = new Promise<void>(resolve => this.child.once('exit', () => resolve()));
    const timer = setTimeout(() => this.child.kill('SIGKILL'), killAfterMs);
    this.child.kill('SIGTERM');
    await ended;
    clearTimeout(timer);
    return this.child.signalCode !== 'SIGKILL';
  }
}

/** Reads a ready line; undefined for any other line. */
export function parseReadyLine(line: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value = JSON.parse(line) as Record<string, unknown> | null;
    return value?.['ready'] === true ? value : undefined;
  } catch {
    return undefined;
  }
}
