/**
 * A loopback proxy for one link, which delays, cuts and resets the connections through it. Bytes that a cut holds back are
 * delivered when the link works again, as TCP does, also when their sender has closed the connection meanwhile.
 */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';
import {EventEmitter, once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';

/** State of a link. */
export interface LinkState {
  /** Added to each piece of data, in each direction, in milliseconds. */
  readonly delayMs: number;
  /** Whether data from the connecting side passes. */
  readonly passesForward: boolean;
  /** Whether data to the connecting side passes. */
  readonly passesBack: boolean;
}

/** A link without trouble. */
export const soundLink: LinkState = {delayMs: 0, passesForward: true, passesBack: true};

type Direction = 'passesForward' | 'passesBack';

/** Passes connections on to a port of the loopback address. */
export class FaultProxy {
  private readonly server = net.createServer({allowHalfOpen: true}, socket => this.join(socket));
  private readonly open = new Set<net.Socket>();
  private state = soundLink;
  private readonly changes = new EventEmitter().setMaxListeners(0);

  /** @param upstream Where connections lead now; it may move, as an address that is used again. */
  constructor(public upstream: {readonly host: string; readonly port: number}) {}

  /** Starts on a free port and returns it. */
  async start(): Promise<number> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Changes the state of the link; what it no longer holds back goes on. */
  set(state: LinkState): void {
    this.state = state;
    this.changes.emit('change');
  }

  /** Resets every open connection on both sides. */
  reset(): void {
    for (const socket of this.open) socket.resetAndDestroy();
  }

  /** Ends the proxy and its connections. */
  stop(): void {
    this.server.close();
    this.set(soundLink);
    this.reset();
  }

  private join(near: net.Socket): void {
    const far = net.connect({...this.upstream, allowHalfOpen: true});
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      // Each direction ends by what its reader sees; without a listener an error would end the process.
      socket.on('error', () => undefined);
      this.open.add(socket);
      socket.once('close', () => this.open.delete(socket));
    }
    void this.pass(near, far, 'passesForward');
    void this.pass(far, near, 'passesBack');
  }

  private async pass(from: net.Socket, to: net.Socket, direction: Direction): Promise<void> {
    try {
      for await (const data of from) {
        await this.travel(direction);
        if (!to.write(data as Buffer)) await once(to, 'drain');
      }
      await this.travel(direction);
      to.end();
    } catch {
      // The sender reset the connection, or the receiver is gone: the other side learns it the same way.
      await this.travel(direction);
      to.resetAndDestroy();
      from.resetAndDestroy();
    }
  }

  /** Waits until the data has travelled over the link. */
  private async travel(direction: Direction): Promise<void> {
    if (this.state.delayMs > 0) await sleep(this.state.delayMs);
    while (!this.state[direction]) await once(this.changes, 'change');
  }
}
