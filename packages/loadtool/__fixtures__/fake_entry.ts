/** Fake entry for tests: answers look-ups, refuses requests to one service and echoes requests to all others. */
import * as http from 'node:http';
import {listen, makeAnswerStream, requestUrl, runHandler, sendJson} from '@cuminsill/standins';
import type {RunningServer} from '@cuminsill/standins';
import {resultCodes} from '@cuminsill/types';

/** Starts the fake entry on a free port. */
export async function startFakeEntry(refusedServiceId: string): Promise<RunningServer> {
  const server = http.createServer((request, response) => {
    void runHandler(handleRequest, request, response);
  });
  const runningServer = await listen(server, '127.0.0.1', 0);

  function handleRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const [, firstSegment, serviceId = ''] = requestUrl(request).pathname.split('/');
    if (firstSegment === 'v1') {
      const instances = [{instanceId: 'i', ...runningServer.address}];
      return sendJson(response, 200, {instances, maxAgeS: 60});
    }
    if (serviceId === refusedServiceId) {
      request.resume();
      return sendJson(response, 503, resultCodes.noTarget);
    }
    const head = {
      targetId: `${serviceId}-01`,
      serviceId,
      requestNumber: String(request.headers['x-standin-request-number']),
      idempotencyKey: '',
      method: '',
      path: '',
    };
    request.pipe(makeAnswerStream(head, 0)).pipe(response);
  }

  return runningServer;
}
