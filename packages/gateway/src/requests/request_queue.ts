/**
 * Queue of the requests that were read and are not handled yet. It keeps the turns of the event loop short, so that the
 * gateway learns soon of new connections and of callers that leave.
 *
 * The pattern: while other gateways restart, one gateway gets the callers of a region, all on new connections. Node.js
 * accepts one connection in each turn of the event loop, so with long turns connections wait unseen, with a request whose
 * caller may have left, and whose deadline passes. The queue therefore
 *
 * - handles requests in short slices, and only one in a turn in which a connection was accepted, since more may wait,
 * - handles a request one poll after it was read, when the end of a connection that arrived with it is known,
 * - handles the newest requests first when the oldest ones wait long, and refuses those that have waited too long: in order,
 *   every request would be late.
 */
import type {TimeSource} from '@cuminsill/utils';

/** Requests are handled in one turn until this time has passed. */
const maxSliceMs = 4;
/** While the oldest request has waited longer than this, the newest ones are handled first. */
export const maxOrderedWaitMs = 50;
/** A request that has waited longer is refused, so that its caller can use another gateway while there is time. */
export const maxWaitMs = 200;
/** After one long turn, such as a garbage collection, requests have waited long too, but the next turns handle them. */
const minTurnsUntilRefusal = 5;
/** Turns from a request's arrival until a whole poll of the event loop has passed. */
const turnsUntilPolled = 2;

/** A request that waits in the queue. */
export interface QueuedRequest {
  handle(): void;
  /** Refuses the request because it has waited too long. */
  refuse(): void;
}

interface QueueEntry {
  readonly request: QueuedRequest;
  readonly queuedAtMs: number;
  readonly queuedInTurn: number;
}

/** Runs a function after the event loop has polled; replaced in tests. */
export type RunAfterPoll = (run: () => void) => void;

/** The waiting requests of one gateway. */
export class RequestQueue {
  /** In order of arrival. */
  private entries: QueueEntry[] = [];
  private turn = 0;
  private isTurnScheduled = false;
  private hasAccepted = false;

  constructor(
    private readonly time: TimeSource,
    private readonly runAfterPoll: RunAfterPoll = run => void setImmediate(run),
  ) {}

  /** Number of waiting requests. */
  get length(): number {
    return this.entries.length;
  }

  /** Adds a request; it is handled or refused in a later turn. */
  add(request: QueuedRequest): void {
    const queuedAtMs = this.time.monotonicMs();
    this.entries.push({request, queuedAtMs, queuedInTurn: this.turn});
    this.scheduleTurn();
  }

  /** Removes a request whose caller has left. Returns false when it is no longer in the queue. */
  remove(request: QueuedRequest): boolean {
    const index = this.entries.findIndex(entry => entry.request === request);
    if (index < 0) return false;
    this.entries.splice(index, 1);
    return true;
  }

  /** Records that a connection was accepted in this turn. */
  recordAccepted(): void {
    this.hasAccepted = true;
  }

  private scheduleTurn(): void {
    if (this.isTurnScheduled) return;
    this.isTurnScheduled = true;
    this.runAfterPoll(() => this.runTurn());
  }

  private runTurn(): void {
    this.isTurnScheduled = false;
    this.turn += 1;
    const startedAtMs = this.time.monotonicMs();
    this.refuseOverdue(startedAtMs);
    const sliceMs = this.hasAccepted ? 0 : maxSliceMs;
    this.hasAccepted = false;
    do {
      const entry = this.takeNext(startedAtMs);
      if (entry === undefined) break;
      entry.request.handle();
    } while (this.time.monotonicMs() - startedAtMs < sliceMs);
    if (this.entries.length > 0) this.scheduleTurn();
  }

  private refuseOverdue(nowMs: number): void {
    const overdueCount = this.countOverdue(nowMs);
    if (overdueCount === 0) return;
    const overdue = this.entries.splice(0, overdueCount);
    for (const {request} of overdue) request.refuse();
  }

  private countOverdue(nowMs: number): number {
    return this.countOldest(
      ({queuedAtMs, queuedInTurn}) =>
        nowMs - queuedAtMs > maxWaitMs && this.turn - queuedInTurn >= minTurnsUntilRefusal,
    );
  }

  private takeNext(nowMs: number): QueueEntry | undefined {
    const polledCount = this.countPolled();
    if (polledCount === 0) return undefined;
    const [oldest] = this.entries;
    const isLate = oldest !== undefined && nowMs - oldest.queuedAtMs > maxOrderedWaitMs;
    return this.entries.splice(isLate ? polledCount - 1 : 0, 1)[0];
  }

  /** Number of requests, from the oldest, after whose arrival the event loop has polled. */
  private countPolled(): number {
    return this.countOldest(({queuedInTurn}) => this.turn - queuedInTurn >= turnsUntilPolled);
  }

  /** Number of entries, from the oldest, that meet a condition which no later entry meets after one that does not. */
  private countOldest(meets: (entry: QueueEntry) => boolean): number {
    const firstOther = this.entries.findIndex(entry => !meets(entry));
    return firstOther < 0 ? this.entries.length : firstOther;
  }
}
