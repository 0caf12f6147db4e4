/** Raw bytes over one connection. */
import * as net from 'node:net';
import type {SocketAddress} from '@cuminsill/types';

/** Longer than any wait of a daemon that answers; an expiry fails the test that waits. */
const silenceMs = 20_000;

/**
 * Sends bytes, ends the sending side, and resolves with everything that arrives until the other side closes. Rejects
 * when it keeps the connection open in silence.
 */
export function rawExchange(address: SocketAddress, bytes: Uint8Array): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const socket = net.connect({...address, allowHalfOpen: true}, () => socket.end(bytes));
    const chunks: Buffer[] = [];
    socket.setTimeout(silenceMs, () => {
      socket.destroy();
      reject(new Error('the connection stayed open in silence'));
    });
    socket.on('data', chunk => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(chunks)));
  });
}

/** An answer of HTTP/1.1 as text, taken apart. */
export interface RawAnswer {
  readonly status: number;
  readonly body: string;
}

/** Takes the first answer apart; undefined when there is none. */
export function firstAnswer(received: Buffer): RawAnswer | undefined {
  const text = received.toString('latin1');
  const match = /^HTTP\/1\.1 (\d{3}) [^]*?\r\n\r\n([^]*)$/.exec(text);
  return match === null ? undefined : {status: Number(match[1]), body: match[2] ?? ''};
}
