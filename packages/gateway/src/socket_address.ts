/** Text form of socket addresses: `10.1.0.15:8641`. */
import type {SocketAddress} from '@cuminsill/types';

const maxPort = 65_535;

/** Parses an IPv4 address with port; undefined when the text is invalid. */
export function parseAddress(text: string | undefined): SocketAddress | undefined {
  const match = /^([0-9.]+):(\d{1,5})$/.exec(text ?? '');
  const [, host, port] = match ?? [];
  if (host === undefined || port === undefined) return undefined;
  const number = Number(port);
  return number >= 1 && number <= maxPort ? {host, port: number} : undefined;
}

/** Formats an address as host and port. */
export function formatAddress({host, port}: SocketAddress): string {
  return `${host}:${port}`;
}
