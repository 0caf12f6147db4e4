/**
 * Lost connections for which it is open whether the target's process ended or only the connection. A process has ended
 * when a probe finds no one at its address, when another process registers or answers there, when the target registers
 * again with a later start, or when all connections to it close together. A probe that connects proves nothing: a
 * supervisor may have started the process again within milliseconds.
 */
import type {SocketAddress} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {closeSpreadMs} from '../targets/connection_history';
import type {TargetRecord} from '../gateway_types';
import {incarnationIdOf, laterIncarnationId} from '../targets/target';

/** A request that may have crashed the target that had it. */
export interface SuspectRequest {
  readonly fingerprint: string;
  /** Process of the target that had the request. */
  readonly incarnationId: string;
  /** True if the request was sent after an earlier loss was known. */
  readonly isRepeat: boolean;
}

/** A connection that was lost while the target had a request. */
export interface LostConnection extends SuspectRequest {
  readonly targetId: string;
  readonly address: SocketAddress;
  /** Time from when the request was sent until the connection was lost. */
  readonly elapsedMs: number;
  /** Processes under the same record that were known to have ended under the request, at any gateway, when it was sent. */
  readonly knownEndCount: number;
}

/** Receives what became of the lost connections. */
export interface LossListener {
  /** The process that had the request has ended; the connection was lost the given time ago. */
  recordLostTarget(suspect: SuspectRequest, ageMs: number): void;
  /** Nothing shows that the process has ended. */
  recordDiscardedLoss(fingerprint: string, targetId: string): void;
}

interface PendingLoss extends LostConnection {
  readonly lostAtMs: number;
}

/** The end of a process. */
interface ProcessEnd {
  readonly atMs: number;
  /** Requests that the process had. */
  readonly fingerprints: ReadonlySet<string>;
}

/** Tells whether all connections to a target closed at the time when one of them was lost. */
export interface ClosedConnections {
  closedTogether(targetId: string, lostAtMs: number): boolean;
}

/** A process that starts again has registered within this time. */
export const processEndNoticeMs = 5_000;
/** Bounds memory when many connections are lost at once; the oldest loss is discarded first. */
const maxPendingLosses = 1_000;
const maxEndsPerIncarnation = 16;

/** The losses of one gateway that are neither confirmed nor discarded. */
export class PendingLosses {
  private pending: readonly PendingLoss[] = [];
  /** Ends of the processes under one record, in their order, by the incarnation id of the record. */
  private readonly ends = new Map<string, readonly ProcessEnd[]>();

  constructor(
    private readonly listener: LossListener,
    private readonly connections: ClosedConnections,
    private readonly time: TimeSource,
  ) {}

  /**
   * Adds a lost connection.
   * @param incarnationId Process that now has the target's id, if it is known.
   */
  add(loss: LostConnection, incarnationId: string): void {
    if (incarnationId !== loss.incarnationId) {
      this.listener.recordLostTarget(loss, 0);
      return;
    }
    const lostAtMs = this.time.monotonicMs();
    this.pending = [...this.pending, {...loss, lostAtMs}];
    if (this.pending.length > maxPendingLosses) this.discardOldest();
  }

  /** Confirms the losses at a target whose process has ended. */
  onProcessEnded(targetId: string): void {
    this.confirm(loss => loss.targetId === targetId);
  }

  /** Confirms the losses at the address of a process that has just registered. */
  onProcessRegistered(record: TargetRecord): void {
    const {host, port} = record.address;
    const incarnationId = incarnationIdOf(record);
    this.confirm(
      loss =>
        loss.address.host === host &&
        loss.address.port === port &&
        loss.incarnationId !== incarnationId,
    );
  }

  /**
   * Confirms the losses at targets whose connections closed together; discards those that nothing confirmed in time.
   * @param isConnected False while this gateway may have lost connectivity to the targets: then all connections close together.
   */
  review(isConnected = true): void {
    if (this.pending.length === 0) return;
    const nowMs = this.time.monotonicMs();
    if (isConnected) this.confirmClosedTogether(nowMs);
    this.discard(({lostAtMs}) => nowMs - lostAtMs >= processEndNoticeMs);
  }

  private confirmClosedTogether(nowMs: number): void {
    const ended = this.take(
      ({targetId, lostAtMs}) =>
        nowMs - lostAtMs >= closeSpreadMs && this.connections.closedTogether(targetId, lostAtMs),
    );
    // Connections that closed together show an end of the process at that moment.
    for (const loss of ended) this.confirmEnded(loss);
  }

  private confirm(isConfirmed: (loss: PendingLoss) => boolean): void {
    // Only the last loss is known to come from the end. Confirmed first, it lets the earlier ones count for the same end.
    for (const loss of [...this.take(isConfirmed)].reverse()) this.confirmEnded(loss);
  }

  /**
   * Confirms a loss, and distinguishes the process from earlier ones under the same record that had the same request: a
   * process that starts again at once may crash several times before its record tells of the first start. Only ends under
   * the same request are numbered, because another gateway may not have seen the other ends.
   */
  private confirmEnded(loss: PendingLoss): void {
    const {incarnationId, fingerprint, lostAtMs, elapsedMs, knownEndCount} = loss;
    const ends = this.ends.get(incarnationId) ?? [];
    const sentAtMs = lostAtMs - elapsedMs;
    const earlier = ends.filter(({atMs}) => sentAtMs - atMs > closeSpreadMs);
    const [end = {atMs: lostAtMs, fingerprints: new Set<string>()}, ...later] = ends.slice(
      earlier.length,
    );
    const fingerprints = new Set([...end.fingerprints, fingerprint]);
    this.rememberEnds(incarnationId, [...earlier, {...end, fingerprints}, ...later]);
    const earlierCount = earlier.filter(({fingerprints: had}) => had.has(fingerprint)).length;
    const id = laterIncarnationId(incarnationId, Math.max(earlierCount, knownEndCount));
    const confirmed = {...loss, incarnationId: id};
    this.listener.recordLostTarget(confirmed, this.time.monotonicMs() - lostAtMs);
  }

  private rememberEnds(incarnationId: string, ends: readonly ProcessEnd[]): void {
    // Deleting first moves the id to the end, so that the one that ended longest ago is evicted first.
    this.ends.delete(incarnationId);
    this.ends.set(incarnationId, ends.slice(-maxEndsPerIncarnation));
    if (this.ends.size <= maxPendingLosses) return;
    const [oldest] = this.ends.keys();
    if (oldest !== undefined) this.ends.delete(oldest);
  }

  private discardOldest(): void {
    const [oldest] = this.pending;
    this.discard(loss => loss === oldest);
  }

  private discard(isDiscarded: (loss: PendingLoss) => boolean): void {
    for (const {fingerprint, targetId} of this.take(isDiscarded)) {
      this.listener.recordDiscardedLoss(fingerprint, targetId);
    }
  }

  private take(isTaken: (loss: PendingLoss) => boolean): readonly PendingLoss[] {
    const taken = this.pending.filter(isTaken);
    if (taken.length > 0) this.pending = this.pending.filter(loss => !isTaken(loss));
    return taken;
  }
}
