/**
 * How requests and answers carry what the gateway needs beside HTTP itself. The header names belong to the platform, so
 * its adapter implements this.
 */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';

/** What a caller's request says about itself. */
export interface CallerHead {
  readonly requestId: string | undefined;
  /** Time for which the caller waits, in milliseconds; undefined when it does not say. */
  readonly deadlineMs: number | undefined;
  /** Identifies the object that the request concerns; undefined when it does not say. */
  readonly objectKey: string | undefined;
}

/** Load that a target reports. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What a target's response says beside its status. */
export interface TargetHead {
  readonly requestId: string | undefined;
  /** True when the response bears the target's signature. */
  readonly signed: boolean;
  /** True when the target states that it did not and will not run the request. */
  readonly notExecuted: boolean;
  /** True when another target holds the address. */
  readonly wrongTarget: boolean;
  readonly load: ReportedLoad | undefined;
  /** Time for which the target stays cold, in milliseconds; undefined when it does not say. */
  readonly coldForMs: number | undefined;
}

/** What the gateway tells a target beside the caller's own headers. */
export interface TargetRequestHead {
  readonly targetId: string;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMs: number;
}

/** Reads and writes the headers. */
export interface RequestWire {
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  readTarget(response: IncomingMessage): TargetHead;
  /** Headers of an answer that the gateway gives by itself. */
  answerHeaders(requestId: string): Readonly<Record<string, string>>;
  /** Headers that replace those of the caller with the same name. */
  targetHeaders(head: TargetRequestHead): Readonly<Record<string, string>>;
  /** Caller's headers that are not passed on to a target, in lower case. */
  readonly replacedHeaders: ReadonlySet<string>;
}
