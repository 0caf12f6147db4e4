/**
 * Collects the chunks of one body into one buffer within its reservation. Chunks are copied: Node makes an object of some
 * hundred bytes for each, so many small ones would cost many times what they weigh.
 */
import type {BodyReservation} from './body_memory';

const firstCapacityBytes = 16 * 1024;
const growthFactor = 2;
/** Handling a chunk takes as long as copying some hundred bytes, so a shorter one counts as this much. */
const minChunkWeightBytes = 128;

/** Why a chunk could not be added. */
export type BodyOverflow = 'too-large' | 'too-many-chunks' | 'no-room';

/** Parameters of a body. */
export interface BodyBufferOptions {
  readonly reservation: BodyReservation;
  /** Largest body that is accepted, in bytes. */
  readonly maxBytes: number;
  /** Weight of all chunks that is accepted, in bytes; without a limit if left out. */
  readonly maxWeightBytes?: number;
  /** Length of the body, which the reservation covers; undefined when it is not known beforehand. */
  readonly knownBytes: number | undefined;
}

const noBytes = Buffer.alloc(0);

/** The bytes of one body. */
export class BodyBuffer {
  private buffer: Buffer = noBytes;
  private length = 0;
  private weight = 0;

  constructor(private readonly options: BodyBufferOptions) {}

  /** Adds a chunk; returns why it could not be added, or undefined. */
  add(chunk: Buffer): BodyOverflow | undefined {
    const {maxBytes, maxWeightBytes = Infinity, knownBytes} = this.options;
    const needed = this.length + chunk.length;
    if (needed > maxBytes) return 'too-large';
    this.weight += Math.max(chunk.length, minChunkWeightBytes);
    if (this.weight > maxWeightBytes) return 'too-many-chunks';
    if (needed === knownBytes && this.length === 0) {
      this.buffer = chunk;
    } else {
      if (!this.makeRoom(needed)) return 'no-room';
      chunk.copy(this.buffer, this.length);
    }
    this.length = needed;
    return undefined;
  }

  /** The bytes so far, without a copy. */
  bytes(): Buffer {
    return this.buffer.subarray(0, this.length);
  }

  private makeRoom(needed: number): boolean {
    const {knownBytes, maxBytes, reservation} = this.options;
    const capacity = this.buffer.length;
    if (needed <= capacity) return true;
    const grown = Math.max(needed, firstCapacityBytes, capacity * growthFactor);
    const next = knownBytes !== undefined && needed <= knownBytes ? knownBytes : grown;
    const bounded = Math.min(next, Math.max(needed, maxBytes));
    // Both buffers exist while the bytes are copied.
    if (knownBytes === undefined && !reservation.resize(capacity + bounded)) return false;
    const buffer = Buffer.allocUnsafeSlow(bounded);
    this.buffer.copy(buffer, 0, 0, this.length);
    this.buffer = buffer;
    if (knownBytes === undefined) reservation.resize(bounded);
    return true;
  }
}
