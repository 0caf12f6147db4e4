/** The port on which a process answers other processes of the system. Every call must be signed with the peer key. */
import {readFileSync} from 'node:fs';
import * as http2 from 'node:http2';
import type {AddressInfo} from 'node:net';
import type {ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {PeerAddress} from './peer_client';
import {verifyingInterceptor} from './peer_key';

/** Paths of TLS files. With `caFile`, both sides must present a certificate signed by that authority. */
export interface PeerTls {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile?: string;
}

/** Settings of a peer port. */
export interface PeerServerOptions {
  readonly address: PeerAddress;
  readonly peerKey: string;
  readonly tls?: PeerTls;
  /** Registers the services that the process offers. */
  readonly routes: (router: ConnectRouter) => void;
}

/** A peer port that is listening. */
export interface PeerServer {
  readonly port: number;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

const maxMessageBytes = 4 * 1024 * 1024;

/** Starts to listen for calls from peers. Rejects when the address is in use or a TLS file cannot be read. */
export async function startPeerServer(options: PeerServerOptions): Promise<PeerServer> {
  const handler = connectNodeAdapter({
    routes: options.routes,
    interceptors: [verifyingInterceptor(options.peerKey)],
    readMaxBytes: maxMessageBytes,
    // Only the Connect protocol is used between instances.
    grpc: false,
    grpcWeb: false,
  });
  const server =
    options.tls === undefined
      ? http2.createServer(handler)
      : http2.createSecureServer(serverTlsOptions(options.tls), handler);
  const sessions = new Set<http2.ServerHttp2Session>();
  server.on('session', session => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
    session.on('error', () => session.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.address.port, options.address.host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const session of sessions) session.destroy();
      }),
  };
}

function serverTlsOptions(tls: PeerTls): http2.SecureServerOptions {
  return {
    cert: readFileSync(tls.certFile),
    key: readFileSync(tls.keyFile),
    ca: tls.caFile === undefined ? undefined : readFileSync(tls.caFile),
    requestCert: tls.caFile !== undefined,
    rejectUnauthorized: tls.caFile !== undefined,
  };
}
