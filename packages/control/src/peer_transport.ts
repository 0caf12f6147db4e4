/** RPCs to other control processes: heartbeats, configuration, status and refusals. */
import {create} from '@bufbuild/protobuf';
import type {ConfigTransport} from '@cuminsill/config_sync';
import {ConfigTransportError} from '@cuminsill/config_sync';
import type {HeartbeatTransport} from '@cuminsill/membership';
import {HeartbeatError} from '@cuminsill/membership';
import type {
  GetStatusReply,
  HeartbeatReply,
  HeartbeatRequest,
  PeerClients,
  PullReply,
  PullRequest,
  PushReply,
  PushRequest,
  RefusalRecord,
} from '@cuminsill/protocol';
import {
  ConfigService,
  GetStatusRequestSchema,
  MembershipService,
  StatusService,
} from '@cuminsill/protocol';
import type {Instance, SocketAddress} from '@cuminsill/types';
import {Effect} from 'effect';

/** Implements the transports of membership and configuration with Connect clients. */
export class PeerTransport implements HeartbeatTransport, ConfigTransport {
  constructor(private readonly clients: PeerClients) {}

  heartbeat(
    address: SocketAddress,
    request: HeartbeatRequest,
  ): Effect.Effect<HeartbeatReply, HeartbeatError> {
    return Effect.tryPromise({
      try: signal =>
        this.clients.clientFor(MembershipService, address).heartbeat(request, {signal}),
      catch: error => new HeartbeatError({detail: String(error)}),
    });
  }

  push(peer: Instance, request: PushRequest): Effect.Effect<PushReply, ConfigTransportError> {
    return Effect.tryPromise({
      try: signal =>
        this.clients.clientFor(ConfigService, peer.controlPeerAddress).push(request, {signal}),
      catch: error => new ConfigTransportError({detail: String(error)}),
    });
  }

  pull(peer: Instance, request: PullRequest): Effect.Effect<PullReply, ConfigTransportError> {
    return Effect.tryPromise({
      try: signal =>
        this.clients.clientFor(ConfigService, peer.controlPeerAddress).pull(request, {signal}),
      catch: error => new ConfigTransportError({detail: String(error)}),
    });
  }

  /** Status of another instance; undefined if the call fails or times out. */
  async getStatus(peer: Instance): Promise<GetStatusReply | undefined> {
    try {
      const client = this.clients.clientFor(StatusService, peer.controlPeerAddress);
      return await client.getStatus(create(GetStatusRequestSchema), {timeoutMs: statusTimeoutMs});
    } catch {
      return undefined;
    }
  }

  /** A refusal that another instance remembers; undefined if it has none, or if the call fails or times out. */
  async findRefusal(peer: Instance, requestId: string): Promise<RefusalRecord | undefined> {
    try {
      const client = this.clients.clientFor(StatusService, peer.controlPeerAddress);
      const reply = await client.findRefusal({requestId}, {timeoutMs: statusTimeoutMs});
      return reply.refusal;
    } catch {
      return undefined;
    }
  }
}

const statusTimeoutMs = 1000;
