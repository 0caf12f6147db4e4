/** Clients for calls to other processes of the system, over one HTTP/2 connection per peer. */
import {readFileSync} from 'node:fs';
import type {DescService} from '@bufbuild/protobuf';
import type {Client, Transport} from '@connectrpc/connect';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {signingInterceptor} from './peer_key';
import type {PeerTls} from './peer_server';
import {PeerSessionManager} from './peer_session_manager';

/** Settings of the connections to peers. */
export interface PeerClientOptions {
  readonly peerKey: string;
  readonly tls?: PeerTls;
  /** Default timeout of a call in milliseconds; streams have none, because their callers set it to 0. */
  readonly timeoutMs: number;
}

/** Address of a peer port. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

interface PeerConnection {
  readonly transport: Transport;
  readonly session: PeerSessionManager;
}

const idleConnectionTimeoutMs = 60_000;

/** Creates clients for peers, and keeps their connections open for reuse. */
export class PeerClients {
  private readonly connections = new Map<string, PeerConnection>();
  private readonly clients = new Map<string, unknown>();

  constructor(private readonly options: PeerClientOptions) {}

  /** Returns the client of one service at one peer; it is created on first use. */
  clientFor<Service extends DescService>(service: Service, address: PeerAddress): Client<Service> {
    const connectionKey = `${address.host}:${address.port}`;
    const clientKey = `${connectionKey}/${service.typeName}`;
    const known = this.clients.get(clientKey);
    if (known !== undefined) return known as Client<Service>;
    const client = createClient(service, this.connectionTo(connectionKey, address).transport);
    this.clients.set(clientKey, client);
    return client;
  }

  /** Closes all connections. */
  close(): void {
    for (const connection of this.connections.values()) connection.session.abort();
    this.connections.clear();
    this.clients.clear();
  }

  private connectionTo(connectionKey: string, address: PeerAddress): PeerConnection {
    const known = this.connections.get(connectionKey);
    if (known !== undefined) return known;
    const connection = this.openConnection(address);
    this.connections.set(connectionKey, connection);
    return connection;
  }

  private openConnection(address: PeerAddress): PeerConnection {
    const tls = this.options.tls;
    const scheme = tls === undefined ? 'http' : 'https';
    const baseUrl = `${scheme}://${hostInUrl(address.host)}:${address.port}`;
    const session = new PeerSessionManager(
      baseUrl,
      {idleConnectionTimeoutMs},
      tls === undefined ? {} : clientTlsOptions(tls),
    );
    const transport = createConnectTransport({
      httpVersion: '2',
      baseUrl,
      sessionManager: session,
      defaultTimeoutMs: this.options.timeoutMs,
      interceptors: [signingInterceptor(this.options.peerKey)],
    });
    return {transport, session};
  }
}

function clientTlsOptions(tls: PeerTls) {
  return {
    cert: readFileSync(tls.certFile),
    key: readFileSync(tls.keyFile),
    ca: tls.caFile === undefined ? undefined : readFileSync(tls.caFile),
    // Instances are replaced, and are addressed by IP address, so names in certificates are not checked. The certificate
    // authority and the peer key authenticate them.
    checkServerIdentity: () => undefined,
  };
}

function hostInUrl(host: string): string {
  return host.includes(':') ? `[${host}]` : host;
}
