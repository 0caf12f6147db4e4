/**
 * Bounds the bytes of bodies that a gateway holds, of callers, targets and relays together. A body whose length is known
 * reserves it as a whole before it is read, so that no body waits for room while it holds some; one without a length
 * reserves as it grows and is given up without room. Large bodies leave a part of the room to small ones, which do not queue
 * behind them.
 */
import {Effect} from 'effect';

const bytesPerMegabyte = 1024 * 1024;
/** Fraction of the memory limit of the process for bodies; the rest is for the program, its heap and buffers in transit. */
const bodyFraction = 0.25;
/** Fraction of the room for bodies that large bodies may use. */
const largeBodyFraction = 0.8;
/** A body up to this size counts as small, in bytes. */
export const maxSmallBodyBytes = 64 * 1024;

/** The room of one process. */
export interface BodyRoom {
  readonly totalBytes: number;
  readonly largeBytes: number;
}

/** Returns the room for bodies of a process with this memory limit, in megabytes. */
export function bodyRoomOf(memoryLimitMb: number): BodyRoom {
  const totalBytes = Math.floor(memoryLimitMb * bytesPerMegabyte * bodyFraction);
  return {totalBytes, largeBytes: Math.floor(totalBytes * largeBodyFraction)};
}

/** Bytes that a body holds. */
export interface BodyReservation {
  /** Changes the reserved bytes; returns false, and changes nothing, when there is no room. */
  resize(bytes: number): boolean;
  /** Returns all bytes. Later calls do nothing. */
  release(): void;
}

interface Waiter {
  readonly bytes: number;
  readonly admit: (reservation: BodyReservation) => void;
}

/** Counts the bytes of bodies of one process. */
export class BodyMemory {
  private held = 0;
  private heldByLarge = 0;
  /** In order of arrival. */
  private waiters: readonly Waiter[] = [];

  constructor(private readonly room: BodyRoom) {}

  get heldBytes(): number {
    return this.held;
  }

  /** Reserves at once; undefined without room, also while earlier bodies wait for it. */
  tryReserve(bytes: number): BodyReservation | undefined {
    const mustWait = isLarge(bytes) && this.waiters.length > 0;
    return mustWait || !this.hasRoom(bytes, 0) ? undefined : this.reserve(bytes);
  }

  /**
   * Reserves as soon as there is room, in order of arrival: at once, or later.
   * @returns a function that gives up the wait.
   */
  whenRoom(bytes: number, admit: (reservation: BodyReservation) => void): () => void {
    const reservation = this.tryReserve(bytes);
    if (reservation !== undefined) {
      admit(reservation);
      return () => undefined;
    }
    const waiter = {bytes, admit};
    this.waiters = [...this.waiters, waiter];
    return () => this.removeWaiter(waiter);
  }

  /** The same as an effect. Interruption gives up the wait. */
  waitForRoom(bytes: number): Effect.Effect<BodyReservation> {
    return Effect.async<BodyReservation>(resume => {
      let admitted: BodyReservation | undefined;
      const giveUp = this.whenRoom(bytes, reservation => {
        admitted = reservation;
        resume(Effect.succeed(reservation));
      });
      return Effect.sync(() => {
        giveUp();
        admitted?.release();
      });
    });
  }

  /** Counts bytes that are held already, whatever the room. */
  hold(bytes: number): BodyReservation {
    return this.reserve(bytes);
  }

  private reserve(bytes: number): BodyReservation {
    let current = bytes;
    let isReleased = false;
    this.add(bytes);
    return {
      resize: next => {
        if (isReleased || (next > current && !this.hasRoom(next, current))) return false;
        this.remove(current);
        this.add(next);
        current = next;
        return true;
      },
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.remove(current);
        this.admitWaiters();
      },
    };
  }

  /** @param ownBytes Bytes that the body holds already. */
  private hasRoom(bytes: number, ownBytes: number): boolean {
    const {totalBytes, largeBytes} = this.room;
    const otherLargeBytes = this.heldByLarge - (isLarge(ownBytes) ? ownBytes : 0);
    // One large body is accepted whatever its size, or it would be refused for good.
    if (isLarge(bytes) && otherLargeBytes === 0) return true;
    if (this.held - ownBytes + bytes > totalBytes) return false;
    return !isLarge(bytes) || otherLargeBytes + bytes <= largeBytes;
  }

  private add(bytes: number): void {
    this.held += bytes;
    if (isLarge(bytes)) this.heldByLarge += bytes;
  }

  private remove(bytes: number): void {
    this.held -= bytes;
    if (isLarge(bytes)) this.heldByLarge -= bytes;
  }

  private removeWaiter(waiter: Waiter): void {
    this.waiters = this.waiters.filter(other => other !== waiter);
    this.admitWaiters();
  }

  private admitWaiters(): void {
    let [next] = this.waiters;
    while (next !== undefined && this.hasRoom(next.bytes, 0)) {
      this.waiters = this.waiters.slice(1);
      next.admit(this.reserve(next.bytes));
      [next] = this.waiters;
    }
  }
}

function isLarge(bytes: number): boolean {
  return bytes > maxSmallBodyBytes;
}
