/**
 * A proxy before the store for one machine. While it is shut, the store turns this machine away: open connections are reset, and
 * so is each new one. Other machines reach the store without it.
 */
import * as net from 'node:net';

/** Starts a gate on a free port of the loopback address. */
export async function startStoreGate(current) {
  const sockets = new Set();
  const gate = {isShut: false};
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    if (gate.isShut) {
      socket.resetAndDestroy();
      return;
    }
    const upstream = net.connect(current.storePort, '127.0.0.1');
    upstream.on('error', () => socket.destroy());
    for (const end of [socket, upstream]) {
      sockets.add(end);
      end.once('close', () => sockets.delete(end));
    }
    socket.pipe(upstream);
    upstream.pipe(socket);
    socket.once('close', () => upstream.destroy());
    upstream.once('close', () => socket.destroy());
  });
  await new Promise(done => server.listen(0, '127.0.0.1', done));
  gate.port = server.address().port;
  gate.shut = () => {
    gate.isShut = true;
    for (const socket of [...sockets]) socket.resetAndDestroy();
  };
  gate.open = () => {
    gate.isShut = false;
  };
  current.stops.push(() => {
    for (const socket of [...sockets]) socket.destroy();
    server.close();
  });
  return gate;
}
