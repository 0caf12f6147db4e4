/** Sends raw bytes over one TCP connection and parses what comes back. */
import * as net from 'node:net';
import type {SocketAddress} from '@cuminsill/types';

/** Longer than any wait inside a daemon that still responds. If it expires, the test fails. */
const idleTimeoutMs = 20_000;

/**
 * Sends bytes, half-closes the connection, and resolves with everything received until the other side closes it.
 * Rejects if the other side keeps the connection open without sending data.
 */
export function sendRawBytes(address: SocketAddress, bytes: Uint8Array): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const socket = net.connect({...address, allowHalfOpen: true}, () => socket.end(bytes));
    const chunks: Buffer[] = [];
    socket.setTimeout(idleTimeoutMs, () => {
      socket.destroy();
      reject(new Error('the connection stayed open without data until the idle timeout'));
    });
    socket.on('data', chunk => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(chunks)));
  });
}

/** Status and body of an HTTP/1.1 response. */
export interface RawResponse {
  readonly status: number;
  readonly body: string;
}

/** Parses the first HTTP response in the received bytes; undefined if there is none. */
export function parseFirstResponse(received: Buffer): RawResponse | undefined {
  const text = received.toString('latin1');
  const match = /^HTTP\/1\.1 (\d{3}) [^]*?\r\n\r\n([^]*)$/.exec(text);
  return match === null ? undefined : {status: Number(match[1]), body: match[2] ?? ''};
}
