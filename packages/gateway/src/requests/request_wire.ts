/**
 * Metadata that requests and answers carry in headers. The platform defines the header names, so its adapter
 * implements this.
 */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';

/** Metadata of a caller's request. */
export interface CallerHead {
  readonly requestId: string | undefined;
  /** Time for which the caller waits, in milliseconds; undefined when the request does not state it. */
  readonly deadlineMs: number | undefined;
  /** Identifies the object that the request concerns; undefined when the request does not state it. */
  readonly objectKey: string | undefined;
  /** Key of the caller's workspace; undefined when the request has none in the known scheme. Never logged. */
  readonly apiKey: string | undefined;
}

/** Load that a target reports. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Present service time relative to the usual one, which is 1; undefined when the target does not report it. */
  readonly workDurationRatio?: number | undefined;
}

/** Metadata of a target's response. */
export interface TargetHead {
  readonly requestId: string | undefined;
  /** True when the response carries the target's signature. */
  readonly signed: boolean;
  /** True when the target states that it did not and will not run the request. */
  readonly notExecuted: boolean;
  /** True when another target answered at the address. */
  readonly wrongTarget: boolean;
  readonly load: ReportedLoad | undefined;
  /** True when the target says that it leaves. */
  readonly leaving: boolean;
  /**
   * Time for which the target wants no request of this gateway, in milliseconds; undefined when the response does not state
   * it. Applies to rejections only.
   */
  readonly retryAfterMs: number | undefined;
  /** Requests per second that the target takes from all gateways together; undefined when it names no limit. */
  readonly limitPerS: number | undefined;
  /** How long the target stays cold, in milliseconds; undefined when the response does not state it. */
  readonly coldForMs: number | undefined;
}

/** Metadata that the gateway adds to a request to a target. */
export interface TargetRequestHead {
  readonly targetId: string;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Workspace of the caller; undefined when the request needs no key. */
  readonly workspace: string | undefined;
}

/** Metadata that the gateway adds to a request to another gateway, which chooses the target. */
export interface RelayRequestHead {
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Key of the caller's workspace; undefined when the request needs none. */
  readonly apiKey: string | undefined;
}

/** Reads and writes the metadata headers. */
export interface RequestWire {
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  readTarget(response: IncomingMessage): TargetHead;
  /** Headers of an answer of the gateway itself. */
  answerHeaders(requestId: string): Readonly<Record<string, string>>;
  /** Headers that replace those of the caller with the same name. */
  targetHeaders(head: TargetRequestHead): Readonly<Record<string, string>>;
  /** The same for a request that another gateway relays, which chooses the target. */
  relayHeaders(head: RelayRequestHead): Readonly<Record<string, string>>;
  /** Names of caller headers that are not forwarded, in lower case. */
  readonly replacedHeaders: ReadonlySet<string>;
  /** Names of headers with keys and workspaces, in lower case: no caller's value reaches a target that serves workspaces. */
  readonly credentialHeaders: ReadonlySet<string>;
}
