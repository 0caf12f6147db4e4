/**
 * A TCP proxy on the loopback address that simulates one link: it can delay, cut and reset the connections through it.
 * Data that a cut holds back is delivered when the link works again, as by TCP retransmission, even if the sender has
 * closed its connection meanwhile.
 */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';
import {EventEmitter, once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';

/** Simulated state of a link. */
export interface LinkState {
  /** Delay of each chunk of data, in each direction, in milliseconds. */
  readonly delayMs: number;
  /** Whether data from the client to the upstream passes. */
  readonly passesForward: boolean;
  /** Whether data from the upstream to the client passes. */
  readonly passesBack: boolean;
}

/** A link without faults. */
export const healthyLink: LinkState = {delayMs: 0, passesForward: true, passesBack: true};

type Direction = 'passesForward' | 'passesBack';

/** Forwards connections from a port of the loopback address to the upstream. */
export class FaultProxy {
  private readonly server = net.createServer({allowHalfOpen: true}, socket =>
    this.acceptConnection(socket),
  );
  private readonly openSockets = new Set<net.Socket>();
  private state = healthyLink;
  private readonly stateChanges = new EventEmitter().setMaxListeners(0);

  /**
   * @param upstream Destination of new connections; may be changed when a target is restarted or replaced.
   * @param nextSourceAddress Returns the loopback address from which the next connection comes; by default the system
   *     chooses it.
   */
  constructor(
    public upstream: {readonly host: string; readonly port: number},
    private readonly nextSourceAddress: () => string | undefined = () => undefined,
  ) {}

  /** Starts to listen on a free port and returns the port. */
  async start(): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Changes the state of the link; data that it no longer holds back is delivered. */
  setState(state: LinkState): void {
    this.state = state;
    this.stateChanges.emit('change');
  }

  /** Resets every open connection on both sides. */
  resetConnections(): void {
    for (const socket of this.openSockets) socket.resetAndDestroy();
  }

  /** Stops listening and resets all connections. */
  stop(): void {
    this.server.close();
    this.setState(healthyLink);
    this.resetConnections();
  }

  private acceptConnection(clientSocket: net.Socket): void {
    const localAddress = this.nextSourceAddress();
    const source = localAddress === undefined ? {} : {localAddress};
    const upstreamSocket = net.connect({...this.upstream, ...source, allowHalfOpen: true});
    for (const socket of [clientSocket, upstreamSocket]) {
      socket.setNoDelay(true);
      // `relay` handles errors when it reads; without a listener, an error event would end the process.
      socket.on('error', () => undefined);
      this.openSockets.add(socket);
      socket.once('close', () => this.openSockets.delete(socket));
    }
    void this.relay(clientSocket, upstreamSocket, 'passesForward');
    void this.relay(upstreamSocket, clientSocket, 'passesBack');
  }

  private async relay(from: net.Socket, to: net.Socket, direction: Direction): Promise<void> {
    try {
      for await (const data of from) {
        await this.waitForLink(direction);
        if (!to.write(data as Buffer)) await once(to, 'drain');
      }
      await this.waitForLink(direction);
      to.end();
    } catch {
      // The sender reset its connection or the receiver has closed: reset both, so that the other side notices it too.
      await this.waitForLink(direction);
      to.resetAndDestroy();
      from.resetAndDestroy();
    }
  }

  /** Waits for the delay of the link, and then until this direction is not cut. */
  private async waitForLink(direction: Direction): Promise<void> {
    if (this.state.delayMs > 0) await sleep(this.state.delayMs);
    while (!this.state[direction]) await once(this.stateChanges, 'change');
  }
}
