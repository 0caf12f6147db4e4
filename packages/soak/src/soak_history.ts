/** The history of one run, as observed by callers, targets and the soak itself. All times are on the same clock. */

/** Kinds of requests: idempotent reads, non-idempotent bookings and uploads. */
export type RequestKind = 'read' | 'book' | 'send';

/** How a request ended, as its caller observed it. */
export type RequestEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Request id in the answer; empty when there is none. */
      readonly answeredId: string;
      /** Signature of the target; undefined when the gateway itself answered. */
      readonly signature: string | undefined;
      readonly body: string;
      readonly retryAfterS: number | undefined;
    }
  /** The connection ended before the answer was complete. */
  | {readonly kind: 'cut'; readonly reason: string}
  /** No connection could be established, so nothing was sent. */
  | {readonly kind: 'not-connected'}
  /** The caller cancelled the request, at random or at its timeout. */
  | {readonly kind: 'left'};

/** One request that a caller sent. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly gateway: string;
  /** Which start of the gateway process the caller was connected to, from 1. */
  readonly incarnation: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly end: RequestEnd;
}

/** An event of a request at a target. */
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

/** A period in which a fault or a planned operation affected one subject. */
export interface Disruption {
  /** Name of a gateway, id of a target, or `store`. */
  readonly subject: string;
  readonly kind: string;
  /** Whether this is a planned operation, as in normal maintenance, and not a fault. */
  readonly planned: boolean;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The exit of a gateway process. */
export interface ProcessExit {
  readonly gateway: string;
  readonly atMs: number;
  readonly exitCode: number | null;
  readonly signal: string | null;
  /** Whether the soak had sent SIGTERM or SIGKILL to the process. */
  readonly asked: boolean;
}

/** A configuration version with the time at which it was written to the store. */
export interface WrittenConfiguration {
  readonly version: number;
  readonly atMs: number;
  /** Service of each path prefix. */
  readonly services: Readonly<Record<string, string>>;
}

/** When the store recorded that a target leaves. */
export interface TargetDeparture {
  readonly targetId: string;
  readonly atMs: number;
}

/** A target that a request has crashed. */
export interface TargetCrash {
  readonly targetId: string;
  readonly path: string;
  readonly atMs: number;
}

/** A period in which a target named a limit on its requests. */
export interface TargetLimit {
  readonly targetId: string;
  /** Requests per second from all gateways together. */
  readonly requestsPerS: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A period in which the answers of a target asked for something. */
export interface TargetDirective {
  readonly targetId: string;
  /** No more requests because the target leaves, or none for `pauseMs` from each rejection. */
  readonly kind: 'leaving' | 'pause';
  readonly pauseMs: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Maximum resident memory of a gateway process. */
export interface MemoryPeak {
  readonly gateway: string;
  readonly bytes: number;
}

/** Everything that was recorded during a run. */
export interface SoakHistory {
  readonly requests: readonly SentRequest[];
  readonly targetEvents: readonly TargetEvent[];
  readonly disruptions: readonly Disruption[];
  readonly exits: readonly ProcessExit[];
  readonly configurations: readonly WrittenConfiguration[];
  readonly leavings: readonly TargetDeparture[];
  /** In the order of time. */
  readonly crashes: readonly TargetCrash[];
  readonly limits: readonly TargetLimit[];
  readonly directives: readonly TargetDirective[];
  readonly memoryPeaks: readonly MemoryPeak[];
  /** Gateways that were not ready in time, at the start or after the faults. */
  readonly notReady: readonly string[];
  /** When all faults had ended and the deployment had time to recover. */
  readonly healedAtMs: number;
  readonly endedAtMs: number;
}

/** Records the history of a run. */
export class HistoryRecorder {
  readonly requests: SentRequest[] = [];
  readonly targetEvents: TargetEvent[] = [];
  readonly disruptions: Disruption[] = [];
  readonly exits: ProcessExit[] = [];
  readonly configurations: WrittenConfiguration[] = [];
  readonly leavings: TargetDeparture[] = [];
  readonly crashes: TargetCrash[] = [];
  readonly limits: TargetLimit[] = [];
  readonly directives: TargetDirective[] = [];
  readonly notReady: string[] = [];
  private readonly peakBytesByGateway = new Map<string, number>();
  private healedAtMs = Infinity;

  /** Records the current memory of a gateway process, of which the maximum is kept. */
  recordMemory(gateway: string, bytes: number): void {
    this.peakBytesByGateway.set(
      gateway,
      Math.max(bytes, this.peakBytesByGateway.get(gateway) ?? 0),
    );
  }

  markHealed(atMs: number): void {
    this.healedAtMs = atMs;
  }

  /** Returns the recorded history. */
  finish(endedAtMs: number): SoakHistory {
    const {requests, targetEvents, disruptions, exits} = this;
    const {configurations, leavings, crashes, limits, directives} = this;
    const memoryPeaks = [...this.peakBytesByGateway].map(([gateway, bytes]) => ({gateway, bytes}));
    return {
      requests,
      targetEvents,
      disruptions,
      exits,
      configurations,
      leavings,
      crashes,
      limits,
      directives,
      notReady: this.notReady,
      memoryPeaks,
      healedAtMs: this.healedAtMs,
      endedAtMs,
    };
  }
}
