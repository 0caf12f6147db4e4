/** Finds free ports for processes whose settings must name them before the start. */
import * as net from 'node:net';
import type {AddressInfo} from 'node:net';

/**
 * A loopback address derived from the process id, so that concurrent tests do not share it. Connections to it
 * have the source address 127.0.0.1, so none of them can occupy a free port of it before the process listens there.
 */
export function processLoopbackAddress(): string {
  return `127.${100 + (process.pid >> 16)}.${(process.pid >> 8) & 0xff}.${process.pid & 0xff || 1}`;
}

/** Finds distinct free ports by listening on port 0; all stay open until the last one is found. */
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
