/**
 * Stand-in for an endpoint, as PROTOCOL.md describes it: checks the expected instance, runs a request for a fixed time and
 * answers with its id and a stamp. `answer` replaces the way in which it answers, for faulty endpoints.
 */
import * as http from 'node:http';

/** Head of a sound answer, without the empty line at its end. */
export function answerHead(endpointId, requestId, framing) {
  return [
    'HTTP/1.1 200 OK',
    `Request-Id: ${requestId}`,
    `Response-Stamp: stamp.${endpointId}.${requestId}`,
    framing,
  ].join('\r\n');
}

/** Starts an endpoint on a free port of a loopback address. */
export async function startEndpoint(current, id, options = {}) {
  const {workMs = 0, answer, onRun = () => undefined, host = '127.0.0.1'} = options;
  /** False for large bodies, so that the case itself stays small. */
  const {keepsBodies = true} = options;
  const endpoint = {id, runs: []};
  const server = http.createServer({keepAliveTimeout: 60_000}, (request, response) => {
    const requestId = String(request.headers['request-id']);
    const expected = request.headers['expect-instance'];
    const chunks = [];
    request.on('data', chunk => {
      if (keepsBodies) chunks.push(chunk);
    });
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', () => {
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, {
          'Request-Id': requestId,
          'Not-Executed': '1',
          'Content-Length': 0,
        });
        response.end();
        return;
      }
      const run = {
        requestId,
        method: request.method,
        path: request.url,
        body: Buffer.concat(chunks),
      };
      endpoint.runs.push(run);
      onRun(run, request.socket);
      setTimeout(() => {
        if (request.socket.destroyed) return;
        if (answer?.(run, request.socket, response) === true) return;
        const body = Buffer.from(`answer to ${requestId}`);
        response.writeHead(200, {
          'Request-Id': requestId,
          'Response-Stamp': `stamp.${id}.${requestId}`,
          'Content-Length': body.length,
        });
        response.end(body);
      }, workMs);
    });
  });
  await new Promise(done => server.listen(0, host, done));
  endpoint.port = server.address().port;
  current.stops.push(() => {
    server.closeAllConnections();
    server.close();
  });
  current.register(id, `${host}:${endpoint.port}`, options.spec);
  return endpoint;
}
