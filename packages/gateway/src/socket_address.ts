/** Addresses as text: `10.1.0.15:8641`. */
import type {SocketAddress} from '@cuminsill/types';

const maxPort = 65_535;

/** Reads an address; undefined when it is none. */
export function parseAddress(text: string | undefined): SocketAddress | undefined {
  const match = /^([0-9.]+):(\d{1,5})$/.exec(text ?? '');
  const [, host, port] = match ?? [];
  if (host === undefined || port === undefined) return undefined;
  const number = Number(port);
  return number >= 1 && number <= maxPort ? {host, port: number} : undefined;
}

/** Writes an address. */
export function formatAddress({host, port}: SocketAddress): string {
  return `${host}:${port}`;
}
