/** Clients for calls to other processes of the system, one HTTP/2 connection per peer, kept while it is used. */
import {readFileSync} from 'node:fs';
import type {DescService} from '@bufbuild/protobuf';
import type {Client, Transport} from '@connectrpc/connect';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {signingInterceptor} from './peer_key';
import type {PeerTls} from './peer_server';
import {PeerSessionManager} from './peer_session_manager';

/** How to reach peers. */
export interface PeerClientOptions {
  readonly peerKey: string;
  readonly tls?: PeerTls;
  /** Longest wait for an answer in milliseconds; streams have none. */
  readonly timeoutMs: number;
}

/** Where a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

interface PeerLink {
  readonly transport: Transport;
  readonly session: PeerSessionManager;
}

const idleConnectionTimeoutMs = 60_000;

/** Opens and keeps connections to peers. */
export class PeerClients {
  private readonly links = new Map<string, PeerLink>();
  private readonly clients = new Map<string, unknown>();

  constructor(private readonly options: PeerClientOptions) {}

  /** The client of one service at one peer; made once and kept. */
  of<Service extends DescService>(service: Service, address: PeerAddress): Client<Service> {
    const linkKey = `${address.host}:${address.port}`;
    const clientKey = `${linkKey}/${service.typeName}`;
    const known = this.clients.get(clientKey);
    if (known !== undefined) return known as Client<Service>;
    const client = createClient(service, this.linkTo(linkKey, address).transport);
    this.clients.set(clientKey, client);
    return client;
  }

  /** Closes all connections. */
  close(): void {
    for (const link of this.links.values()) link.session.abort();
    this.links.clear();
    this.clients.clear();
  }

  private linkTo(linkKey: string, address: PeerAddress): PeerLink {
    const known = this.links.get(linkKey);
    if (known !== undefined) return known;
    const link = this.openLink(address);
    this.links.set(linkKey, link);
    return link;
  }

  private openLink(address: PeerAddress): PeerLink {
    const tls = this.options.tls;
    const scheme = tls === undefined ? 'http' : 'https';
    const baseUrl = `${scheme}://${formatHost(address.host)}:${address.port}`;
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
    // Instances are replaced and addressed by IP number; the authority and the peer key say who they are.
    checkServerIdentity: () => undefined,
  };
}

function formatHost(host: string): string {
  return host.includes(':') ? `[${host}]` : host;
}
