/** A small entry for tests: answers look-ups, refuses one service and echoes the requests of others. */
import * as http from 'node:http';
import {listen, makeAnswerStream, requestUrl, runHandler, sendJson} from '@cuminsill/standins';
import type {RunningServer} from '@cuminsill/standins';
import {resultCodes} from '@cuminsill/types';

/** Starts the entry on a free port. */
export async function startFakeEntry(refusedServiceId: string): Promise<RunningServer> {
  const server = http.createServer((request, response) => {
    void runHandler(answer, request, response);
  });
  const running = await listen(server, '127.0.0.1', 0);

  function answer(request: http.IncomingMessage, response: http.ServerResponse): void {
    const [, root, serviceId = ''] = requestUrl(request).pathname.split('/');
    if (root === 'v1') {
      const instances = [{instanceId: 'i', ...running.address}];
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

  return running;
}
