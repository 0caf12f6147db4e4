/** A gateway in a separate process, which the soak starts, sends signals to and stops. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {gatewayPages} from '@cuminsill/standins';
import type {FaultProxy} from './fault_proxy';
import type {HistoryRecorder} from './soak_history';

/** Program, files and ports of a gateway. */
export interface GatewayProcessOptions {
  readonly name: string;
  readonly program: string;
  readonly settingsFile: string;
  readonly logFile: string;
  readonly host: string;
  /** Port on which the gateway itself accepts requests; look-ups return this one. */
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly lookupPort: number;
  /** Port of the proxy through which callers reach the gateway. */
  readonly callerLinkPort: number;
  readonly stopGraceMs: number;
}

/** Compiled launcher of the gateway program; also used when a test runs the soak from its TypeScript sources. */
const launcherFile = join(__dirname, '../dist/bin/stepped_gateway.js');
const readyTimeoutMs = 1_000;
const residentMemoryPattern = /^VmRSS:\s+(\d+) kB$/m;

/** Ended with the soak itself, also by an error: a process that is left calls ports that belong to a later run. */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** A gateway process that can be restarted. */
export class GatewayProcess {
  /** Number of times that the process has been started. */
  incarnation = 0;
  private child: ChildProcess | undefined;
  private exited: Promise<void> = Promise.resolve();
  private isEndRequested = false;

  constructor(
    readonly options: GatewayProcessOptions,
    readonly callerLink: FaultProxy,
    readonly storeLink: FaultProxy,
    private readonly recorder: HistoryRecorder,
    private readonly nowMs: () => number,
  ) {}

  get name(): string {
    return this.options.name;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Starts the process if it is not running. */
  start(): void {
    if (this.child !== undefined) return;
    const {program, settingsFile, logFile} = this.options;
    const logFd = openSync(logFile, 'a');
    const child = spawn(process.execPath, [launcherFile, program, '--settings', settingsFile], {
      stdio: ['ignore', logFd, logFd],
    });
    closeSync(logFd);
    this.child = child;
    runningChildren.add(child);
    this.incarnation += 1;
    this.isEndRequested = false;
    this.exited = new Promise(resolve =>
      child.once('exit', (exitCode, signal) => {
        this.child = undefined;
        runningChildren.delete(child);
        const asked = this.isEndRequested;
        this.recorder.exits.push({gateway: this.name, atMs: this.nowMs(), exitCode, signal, asked});
        resolve();
      }),
    );
  }

  /** Ends the process with SIGKILL. */
  async kill(): Promise<void> {
    this.isEndRequested = true;
    this.child?.kill('SIGKILL');
    await this.exited;
  }

  /** Stops the process with SIGTERM, and with SIGKILL if it has not ended after `stopGraceMs`. */
  async stop(): Promise<void> {
    this.isEndRequested = true;
    this.child?.kill('SIGTERM');
    const killTimer = setTimeout(() => this.child?.kill('SIGKILL'), this.options.stopGraceMs);
    await this.exited;
    clearTimeout(killTimer);
  }

  /** Sends a signal that does not end the process. */
  signal(name: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP' | 'SIGUSR2'): void {
    this.child?.kill(name);
  }

  /** Whether the readiness probe of the gateway succeeds. */
  async isReady(): Promise<boolean> {
    const {host, readinessPort} = this.options;
    const url = `http://${host}:${readinessPort}${gatewayPages.ready}`;
    const response = await fetch(url, {signal: AbortSignal.timeout(readyTimeoutMs)}).catch(
      () => undefined,
    );
    await response?.arrayBuffer().catch(() => undefined);
    return response?.status === 200;
  }

  /** Records the resident memory of the process. */
  recordMemory(): void {
    const {child} = this;
    if (child?.pid === undefined) return;
    const status = readProcessStatus(child.pid);
    const [, kilobytes] = residentMemoryPattern.exec(status) ?? [];
    if (kilobytes !== undefined) this.recorder.recordMemory(this.name, Number(kilobytes) * 1024);
  }
}

/** Reads the process status; empty if the process has just ended. */
function readProcessStatus(processId: number): string {
  try {
    return readFileSync(`/proc/${processId}/status`, 'utf8');
  } catch {
    return '';
  }
}
