/** Free ports for processes whose settings need port numbers before they start. */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';

/**
 * A loopback address that tests of other processes do not use. Connections to it start at 127.0.0.1, so a port
 * that was found free cannot be taken by an outgoing connection before the process listens on it.
 */
export function ownLoopbackAddress(): string {
  return `127.${100 + (process.pid >> 16)}.${(process.pid >> 8) & 0xff}.${process.pid & 0xff || 1}`;
}

/** Finds free ports by listening on port 0; all are held until the last one is found. */
export async function findFreePorts(host: string, count: number): Promise<readonly number[]> {
  const servers = Array.from({length: count}, () => net.createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, host, resolve);
    });
    ports.push((server.address() as AddressInfo).port);
  }
  await Promise.all(
    servers.map(server => new Promise<void>(resolve => server.close(() => resolve()))),
  );
  return ports;
}
