/**
 * Structured logs. A line is written only when a state changes; events that occur per request are metrics instead. The
 * field names are fixed: `instanceId`, `component`, `state`, `previousState`, `configVersion`, `reason`.
 */
import Bunyan from 'bunyan';

/** Fields of a state change. They must never hold a secret or content of a caller's request. */
export interface StateChange {
  readonly component: string;
  readonly state: string;
  readonly previousState?: string;
  readonly peerId?: string;
  readonly targetId?: string;
  readonly configVersion?: number;
  readonly reason?: string;
}

/** Severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Logs state changes. */
export interface Logger {
  /** Writes one line for one state change. */
  stateChange(level: LogLevel, change: StateChange, message: string): void;
}

/** Names that appear in every line, and the lowest level that is written. */
export interface LoggerOptions {
  readonly program: string;
  readonly instanceId: string;
  readonly level: LogLevel;
}

/** Creates a logger that writes JSON lines to standard error; standard output is reserved for results. */
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

/** A logger that discards everything, for tests. */
export const silentLogger: Logger = {stateChange: () => undefined};
