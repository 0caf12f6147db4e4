/** Finds out whether an address accepts connections, by opening one and closing it at once. */
import type {SocketAddress} from '@cuminsill/types';
import type {Dial} from './dial';

/**
 * Resolves to whether a connection is established in time.
 * @param onConnected Called at once when the connection is established.
 */
export function reaches(
  dial: Dial,
  {host, port}: SocketAddress,
  timeoutMs: number,
  onConnected: () => void = () => undefined,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = dial({host, port});
    const end = (isReached: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isReached);
    };
    const timer = setTimeout(() => end(false), timeoutMs);
    socket.once('error', () => end(false));
    socket.once('connect', () => {
      onConnected();
      end(true);
    });
  });
}
