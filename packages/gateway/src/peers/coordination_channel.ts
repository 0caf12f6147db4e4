/**
 * Messages between gateways apart from heartbeats: small JSON datagrams, each with a kind and the sender's name. Datagrams may
 * be lost, doubled, delayed and reordered, so each kind must bear that.
 *
 * A gateway lists the kinds' features in its record. Gateways of earlier builds list none and get no message, because they
 * would log each as an unreadable heartbeat.
 */
import type {SocketAddress} from '@cuminsill/types';
import type {JsonObject} from '@cuminsill/utils';
import {stringField} from '@cuminsill/utils';
import type {GatewayRecord} from '../gateway_types';

/** Fields of a message apart from its kind and its sender's name. */
export type MessageFields = Readonly<Record<string, unknown>>;

/** A received message. */
export interface CoordinationMessage {
  readonly fields: JsonObject;
  /** The sender's record. */
  readonly sender: GatewayRecord;
  /** Sends a message to the sender. */
  reply(kind: string, fields: MessageFields): void;
}

/** Handles the messages of one kind. */
export type CoordinationHandler = (message: CoordinationMessage) => void;

/** Why a received message was dropped. */
export type DropReason = 'unknown-kind' | 'unknown-sender';

/** What the channel uses of the gateway. */
export interface CoordinationTransport {
  /** Sends a datagram; errors are ignored. */
  send(data: Buffer, receiver: SocketAddress): void;
  /** The record of a listed gateway. */
  findGateway(name: string): GatewayRecord | undefined;
  onDropped(reason: DropReason): void;
}

/** Sends messages to other gateways and passes received ones to the handlers of their kinds. */
export class CoordinationChannel {
  private readonly handlers = new Map<string, CoordinationHandler>();

  constructor(
    private readonly ownName: string,
    private readonly transport: CoordinationTransport,
  ) {}

  /** Sets the handler of a kind of messages. */
  handle(kind: string, handler: CoordinationHandler): void {
    this.handlers.set(kind, handler);
  }

  /**
   * Sends a message.
   * @param feature Feature that the receiver must have. Returns false without sending when it does not.
   */
  send(receiver: GatewayRecord, feature: string, kind: string, fields: MessageFields): boolean {
    if (receiver.features?.includes(feature) !== true) return false;
    this.transmit(receiver, kind, fields);
    return true;
  }

  /** Handles the fields of a received datagram; `host` is the address that it came from. */
  receive(fields: JsonObject, host: string): void {
    const sender = this.transport.findGateway(stringField(fields, 'from') ?? '');
    if (sender === undefined || sender.peerAddress.host !== host) {
      this.transport.onDropped('unknown-sender');
      return;
    }
    const handler = this.handlers.get(stringField(fields, 'kind') ?? '');
    if (handler === undefined) {
      this.transport.onDropped('unknown-kind');
      return;
    }
    handler({
      fields,
      sender,
      reply: (kind, replyFields) => this.transmit(sender, kind, replyFields),
    });
  }

  private transmit(receiver: GatewayRecord, kind: string, fields: MessageFields): void {
    const data = Buffer.from(JSON.stringify({...fields, kind, from: this.ownName}));
    this.transport.send(data, receiver.peerAddress);
  }
}
