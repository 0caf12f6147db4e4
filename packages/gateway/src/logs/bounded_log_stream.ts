/**
 * Writes log lines to standard output without blocking the event loop. Node writes to pipes synchronously, so a
 * reader that stops reading would block the process. Here one write at a time runs in the thread pool, and further
 * lines wait in a buffer.
 */
import {write} from 'node:fs';

/** Bound of the buffer, as a string length (UTF-16 code units). */
const maxBufferedLength = 256 * 1024;
/** Lines are batched for this long, because each write wakes a thread, which costs more than the line itself. */
const batchDelayMs = 100;
/** A batch of at least this string length is written without delay. */
const fullBatchLength = 16 * 1024;
const standardOutput = 1;
/** Interval at which `drain` polls, and the delay before a write that would block (EAGAIN) is retried. */
const pollIntervalMs = 20;

/** Writes a text and calls `done` when it is written or the write has failed; replaced in tests. */
export type WriteText = (text: string, done: () => void) => void;

/** Output stream for bunyan. */
export class BoundedLogStream {
  private buffered = '';
  private isWriting = false;
  private droppedCount = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly writeText: WriteText = writeToStandardOutput) {}

  /** Buffers one line; drops it when the buffer is full. */
  write(line: string): void {
    if (this.buffered.length + line.length > maxBufferedLength) {
      this.droppedCount += 1;
      return;
    }
    this.buffered += line;
    if (this.buffered.length >= fullBatchLength) this.writeNext();
    else this.timer ??= setTimeout(() => this.writeNext(), batchDelayMs);
  }

  /** Returns the number of lines dropped since the last call. */
  takeDropped(): number {
    const {droppedCount: dropped} = this;
    this.droppedCount = 0;
    return dropped;
  }

  /** Resolves when all buffered lines are written or their write has failed, or after the timeout. */
  async drain(timeoutMs: number): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    this.writeNext();
    while ((this.isWriting || this.buffered !== '') && performance.now() < endMs) {
      await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
  }

  private writeNext(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.isWriting || this.buffered === '') return;
    this.isWriting = true;
    const text = this.buffered;
    this.buffered = '';
    this.writeText(text, () => {
      this.isWriting = false;
      // Writes lines that arrived during the write and have no pending timer.
      if (this.timer === undefined) this.writeNext();
    });
  }
}

function writeToStandardOutput(text: string, done: () => void): void {
  const data = Buffer.from(text);
  const writeFrom = (offset: number) => {
    write(standardOutput, data, offset, data.length - offset, null, (error, written) => {
      if (error?.code === 'EAGAIN') setTimeout(() => writeFrom(offset), pollIntervalMs);
      else if (error !== null || offset + written >= data.length) done();
      else writeFrom(offset + written);
    });
  };
  writeFrom(0);
}
