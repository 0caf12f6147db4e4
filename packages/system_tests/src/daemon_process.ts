/** Runs a daemon as a child process, from its built file. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

/** A daemon of the system. */
export type DaemonName = 'entry' | 'control';

const packagesDirectory = join(__dirname, '../..');

/** Exit status of a process. */
export interface DaemonExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A daemon process and its output so far. */
export class DaemonProcess {
  private outputText = '';
  private readonly child: ChildProcess;
  private readonly exitPromise: Promise<DaemonExit>;
  private readonly readyPromise: Promise<void>;

  /** Starts the process. */
  constructor(
    readonly daemon: DaemonName,
    settingsFile: string,
  ) {
    const file = join(packagesDirectory, daemon, 'dist/bin', `${daemon}.js`);
    const child = spawn(process.execPath, [file, '--settings', settingsFile], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.exitPromise = new Promise(resolve =>
      child.once('close', (code, signal) => resolve({code, signal})),
    );
    child.stderr.on('data', (chunk: Buffer) => (this.outputText += chunk.toString('utf8')));
    this.readyPromise = new Promise((resolve, reject) => {
      createInterface({input: child.stdout}).on('line', line => {
        this.outputText += `${line}\n`;
        if (line.includes('"ready":true')) resolve();
      });
      void this.exitPromise.then(exit =>
        reject(new Error(`${daemon} exited with ${exit.code ?? exit.signal}: ${this.outputText}`)),
      );
    });
    this.readyPromise.catch(() => undefined);
  }

  /** Resolves when the process has logged that it is ready; rejects if it exits before that. */
  waitUntilReady(): Promise<void> {
    return this.readyPromise;
  }

  /** Resolves when the process has exited and its output is complete. */
  waitUntilExited(): Promise<DaemonExit> {
    return this.exitPromise;
  }

  /** Whether the process is still running. */
  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Standard output and standard error so far. */
  output(): string {
    return this.outputText;
  }

  /** Process id; undefined if the process could not be started. */
  processId(): number | undefined {
    return this.child.pid;
  }

  /** Sends a signal unless the process has already exited. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(signal);
  }

  /** Kills the process and waits until it has exited. This also works after SIGSTOP. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exitPromise;
  }
}
