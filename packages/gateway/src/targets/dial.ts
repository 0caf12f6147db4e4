/** Opens connections to targets. Tests replace it to disturb the connectivity of one gateway. */
import type {Socket, TcpNetConnectOpts} from 'node:net';

/** Starts to connect, as `net.connect` does. */
export type Dial = (options: TcpNetConnectOpts) => Socket;
