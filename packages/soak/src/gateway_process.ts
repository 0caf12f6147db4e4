/** One gateway as a process of its own, which the soak starts, disturbs by signals and ends by its process id. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {closeSync, openSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {gatewayPages} from '@cuminsill/standins';
import type {FaultProxy} from './fault_proxy';
import type {HistoryRecorder} from './soak_history';

/** Where a gateway's files and ports are. */
export interface GatewayPlace {
  readonly name: string;
  readonly program: string;
  readonly settingsFile: string;
  readonly logFile: string;
  readonly host: string;
  /** Where the gateway itself takes requests; look-ups name this address. */
  readonly callerPort: number;
  readonly readinessPort: number;
  readonly lookupPort: number;
  /** Port of the link through which callers come. */
  readonly callerLinkPort: number;
  readonly stopGraceMs: number;
}

/** The built program, also when the soak itself runs from its sources in a test. */
const steppedProgram = join(__dirname, '../dist/bin/stepped_gateway.js');
const readyTimeoutMs = 1_000;
const residentPattern = /^VmRSS:\s+(\d+) kB$/m;

/** A gateway that can be started again after each end. */
export class GatewayProcess {
  /** Starts so far. */
  incarnation = 0;
  private child: ChildProcess | undefined;
  private exited: Promise<void> = Promise.resolve();
  private endIsAsked = false;

  constructor(
    readonly place: GatewayPlace,
    readonly callerLink: FaultProxy,
    readonly storeLink: FaultProxy,
    private readonly recorder: HistoryRecorder,
    private readonly nowMs: () => number,
  ) {}

  get name(): string {
    return this.place.name;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Starts the process unless it runs. */
  start(): void {
    if (this.child !== undefined) return;
    const {program, settingsFile, logFile} = this.place;
    const log = openSync(logFile, 'a');
    const child = spawn(process.execPath, [steppedProgram, program, '--settings', settingsFile], {
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.child = child;
    this.incarnation += 1;
    this.endIsAsked = false;
    this.exited = new Promise(resolve =>
      child.once('exit', (exitCode, signal) => {
        this.child = undefined;
        const asked = this.endIsAsked;
        this.recorder.exits.push({gateway: this.name, atMs: this.nowMs(), exitCode, signal, asked});
        resolve();
      }),
    );
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    this.endIsAsked = true;
    this.child?.kill('SIGKILL');
    await this.exited;
  }

  /** Asks the process to stop, and ends it after the grace time. */
  async stop(): Promise<void> {
    this.endIsAsked = true;
    this.child?.kill('SIGTERM');
    const deadline = setTimeout(() => this.child?.kill('SIGKILL'), this.place.stopGraceMs);
    await this.exited;
    clearTimeout(deadline);
  }

  /** Sends a signal that does not end the process. */
  signal(name: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP' | 'SIGUSR2'): void {
    this.child?.kill(name);
  }

  /** Whether the gateway answers that it is ready. */
  async isReady(): Promise<boolean> {
    const {host, readinessPort} = this.place;
    const url = `http://${host}:${readinessPort}${gatewayPages.ready}`;
    const answer = await fetch(url, {signal: AbortSignal.timeout(readyTimeoutMs)}).catch(
      () => undefined,
    );
    await answer?.arrayBuffer().catch(() => undefined);
    return answer?.status === 200;
  }

  /** Notes how much memory the process uses now. */
  noteMemory(): void {
    const {child} = this;
    if (child?.pid === undefined) return;
    const status = readStatus(child.pid);
    const [, kilobytes] = residentPattern.exec(status) ?? [];
    if (kilobytes !== undefined) this.recorder.memory(this.name, Number(kilobytes) * 1024);
  }
}

/** Empty when the process has just ended. */
function readStatus(processId: number): string {
  try {
    return readFileSync(`/proc/${processId}/status`, 'utf8');
  } catch {
    return '';
  }
}
