/**
 * Structured logs. A line is written only when a state changes; everything that happens per request is a
 * counter. Field names are fixed: `instanceId`, `component`, `state`, `previousState`, `configVersion`, `reason`.
 */
import Bunyan from 'bunyan';

/** Fields of a state change. Never put a secret or a caller's content here. */
export interface StateChange {
  readonly component: string;
  readonly state: string;
  readonly previousState?: string;
  readonly peerId?: string;
  readonly targetId?: string;
  readonly configVersion?: number;
  readonly reason?: string;
}

/** Severity of a state change. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Writes state changes. */
export interface Logger {
  /** Writes one line for a change of state. */
  stateChange(level: LogLevel, change: StateChange, message: string): void;
}

/** Settings of the log. */
export interface LoggerOptions {
  readonly program: string;
  readonly instanceId: string;
  readonly level: LogLevel;
}

/** Makes a logger that writes JSON lines to standard error, so that standard output stays for results. */
export function createLogger(options: LoggerOptions): Logger {
  const bunyan = Bunyan.createLogger({
    name: options.program,
    instanceId: options.instanceId,
    streams: [{level: options.level, stream: process.stderr}],
  });
  return {
    stateChange: (level, change, message) => bunyan[level](change, message),
  };
}

/** A logger that writes nothing, for tests. */
export const silentLogger: Logger = {stateChange: () => undefined};
