/** Methods of http.Agent that Node documents and its type declarations leave out. */
import type {Duplex} from 'node:stream';

declare module 'node:http' {
  interface Agent {
    keepSocketAlive(socket: Duplex): boolean;
    reuseSocket(socket: Duplex, request: ClientRequest): void;
  }
}
