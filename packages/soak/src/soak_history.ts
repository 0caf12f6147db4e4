/** What callers, targets and the soak itself saw during one run, on one clock. */

/** Kinds of requests, by what may be repeated. */
export type RequestKind = 'read' | 'book' | 'send';

/** How a request ended for its caller. */
export type RequestEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Id in the answer. */
      readonly answeredId: string;
      /** Signature of a target; undefined for an answer of the gateway's own. */
      readonly signature: string | undefined;
      readonly body: string;
      readonly retryAfterS: number | undefined;
    }
  /** The connection ended before the answer was complete. */
  | {readonly kind: 'cut'; readonly reason: string}
  /** No connection was made, so nothing was sent. */
  | {readonly kind: 'not-connected'}
  /** The caller closed its connection. */
  | {readonly kind: 'left'};

/** One request of a caller. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly gateway: string;
  /** Start of the gateway's process that the caller was connected to, counted from 1. */
  readonly incarnation: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly end: RequestEnd;
}

/** Something that happened to a request at a target. */
export interface TargetEvent {
  readonly kind: 'arrived' | 'ran' | 'answered';
  readonly atMs: number;
  readonly targetId: string;
  readonly service: string;
  readonly requestId: string;
  readonly method?: string;
  readonly path?: string;
  readonly body?: string;
  readonly status?: number;
}

/** A span in which the soak disturbed something. */
export interface Disruption {
  /** Name of a gateway, id of a target, or `store`. */
  readonly subject: string;
  readonly kind: string;
  /** Whether operators do this in normal work. */
  readonly planned: boolean;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A process that ended. */
export interface ProcessExit {
  readonly gateway: string;
  readonly atMs: number;
  readonly exitCode: number | null;
  readonly signal: string | null;
  /** Whether the soak had sent the signal that ends it. */
  readonly asked: boolean;
}

/** A configuration and when the store had it. */
export interface WrittenConfiguration {
  readonly version: number;
  readonly atMs: number;
  /** Service of each path prefix. */
  readonly services: Readonly<Record<string, string>>;
}

/** Moment from which a target gets no new work, as the store acknowledged it. */
export interface TargetLeaving {
  readonly targetId: string;
  readonly atMs: number;
}

/** Largest memory that was seen of a process. */
export interface MemoryPeak {
  readonly gateway: string;
  readonly bytes: number;
}

/** Everything that checks look at. */
export interface SoakHistory {
  readonly requests: readonly SentRequest[];
  readonly targetEvents: readonly TargetEvent[];
  readonly disruptions: readonly Disruption[];
  readonly exits: readonly ProcessExit[];
  readonly configurations: readonly WrittenConfiguration[];
  readonly leavings: readonly TargetLeaving[];
  readonly memoryPeaks: readonly MemoryPeak[];
  /** Gateways that were not ready in time, at the start or after the disruptions. */
  readonly notReady: readonly string[];
  /** When every disruption had ended and every gateway ran again. */
  readonly healedAtMs: number;
  readonly endedAtMs: number;
}

/** Collects the history of a run. */
export class HistoryRecorder {
  readonly requests: SentRequest[] = [];
  readonly targetEvents: TargetEvent[] = [];
  readonly disruptions: Disruption[] = [];
  readonly exits: ProcessExit[] = [];
  readonly configurations: WrittenConfiguration[] = [];
  readonly leavings: TargetLeaving[] = [];
  readonly notReady: string[] = [];
  private readonly peaks = new Map<string, number>();
  private healedAtMs = Infinity;

  /** Notes the memory of a process. */
  memory(gateway: string, bytes: number): void {
    this.peaks.set(gateway, Math.max(bytes, this.peaks.get(gateway) ?? 0));
  }

  healed(atMs: number): void {
    this.healedAtMs = atMs;
  }

  /** The history until now. */
  finish(endedAtMs: number): SoakHistory {
    const {requests, targetEvents, disruptions, exits, configurations, leavings, healedAtMs} = this;
    const memoryPeaks = [...this.peaks].map(([gateway, bytes]) => ({gateway, bytes}));
    return {
      requests,
      targetEvents,
      disruptions,
      exits,
      configurations,
      leavings,
      notReady: this.notReady,
      memoryPeaks,
      healedAtMs,
      endedAtMs,
    };
  }
}
