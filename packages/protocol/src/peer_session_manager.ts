/**
 * Manages the HTTP/2 connection to one peer. The session manager of connect-node removes its error listener from a
 * connection that it no longer uses, for example when a request is made after a stopping peer has sent GOAWAY. The
 * connection can still emit an error afterwards, and without a listener this error would end the process.
 */
import type * as http2 from 'node:http2';
import {Http2SessionManager} from '@connectrpc/connect-node';

/** A session manager whose connections always have an error listener. */
export class PeerSessionManager extends Http2SessionManager {
  private readonly sessionsWithListener = new WeakSet<object>();

  override async request(
    ...args: Parameters<Http2SessionManager['request']>
  ): Promise<http2.ClientHttp2Stream> {
    const stream = await super.request(...args);
    const {session} = stream;
    if (session !== undefined && !this.sessionsWithListener.has(session)) {
      this.sessionsWithListener.add(session);
      // The session manager and the streams handle the error; this listener only prevents an uncaught exception.
      session.on('error', () => undefined);
    }
    return stream;
  }
}
