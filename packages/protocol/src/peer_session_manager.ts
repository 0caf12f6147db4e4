/**
 * Keeps the HTTP/2 connection to one peer. The manager of connect-node removes its error listener from a connection
 * that it gives up, for example when a request follows on the GOAWAY of a peer that stops. The connection can
 * still emit an error afterwards, and without a listener this error would end the process.
 */
import type * as http2 from 'node:http2';
import {Http2SessionManager} from '@connectrpc/connect-node';

/** A manager whose connections always have an error listener. */
export class PeerSessionManager extends Http2SessionManager {
  private readonly guarded = new WeakSet<object>();

  override async request(
    ...args: Parameters<Http2SessionManager['request']>
  ): Promise<http2.ClientHttp2Stream> {
    const stream = await super.request(...args);
    const {session} = stream;
    if (session !== undefined && !this.guarded.has(session)) {
      this.guarded.add(session);
      // The manager and the streams handle the error; this listener only keeps it from being uncaught.
      session.on('error', () => undefined);
    }
    return stream;
  }
}
