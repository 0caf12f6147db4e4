/** One process of a daemon, started from its built file. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

/** The daemons. */
export type DaemonName = 'entry' | 'control';

const packagesDirectory = join(__dirname, '../..');

/** How a process ended. */
export interface DaemonEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process with everything that it has written. */
export class DaemonProcess {
  private output = '';
  private readonly child: ChildProcess;
  private readonly ended: Promise<DaemonEnd>;
  private readonly becameReady: Promise<void>;

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
    this.ended = new Promise(resolve =>
      child.once('close', (code, signal) => resolve({code, signal})),
    );
    child.stderr.on('data', (chunk: Buffer) => (this.output += chunk.toString('utf8')));
    this.becameReady = new Promise((resolve, reject) => {
      createInterface({input: child.stdout}).on('line', line => {
        this.output += `${line}\n`;
        if (line.includes('"ready":true')) resolve();
      });
      void this.ended.then(end =>
        reject(new Error(`${daemon} ended with ${end.code ?? end.signal}: ${this.output}`)),
      );
    });
    this.becameReady.catch(() => undefined);
  }

  /** Resolves after the ready line; rejects when the process ends before. */
  untilReady(): Promise<void> {
    return this.becameReady;
  }

  /** Resolves when the process has ended and its output is complete. */
  untilEnded(): Promise<DaemonEnd> {
    return this.ended;
  }

  /** Whether the process runs. */
  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Everything that the process has written to standard output and standard error. */
  written(): string {
    return this.output;
  }

  /** Id of the process; undefined when it could not be started. */
  processId(): number | undefined {
    return this.child.pid;
  }

  /** Sends a signal to this process. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning()) this.child.kill(signal);
  }

  /** Ends the process at once, also when it is stopped by SIGSTOP. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.ended;
  }
}
