/**
 * Runs many stand-in targets in one process, with one control port:
 *
 * - `POST /targets/<id>/mode` with some fields of a {@link TargetMode} changes the behaviour of one target;
 * - `GET /targets` returns the {@link TargetRecord} of every target;
 * - `GET /targets/<id>` returns the one of this target.
 */
import * as http from 'node:http';
import type {Target} from '@cuminsill/types';
import {hash32, seededRandom, systemTime} from '@cuminsill/utils';
import type {RunningServer} from './http_server';
import {listen, readBody, requestUrl, runHandler, sendJson} from './http_server';
import {StandinTarget} from './target';
import type {TargetMode} from './target_mode';

/** The running targets of a catalog, by id. */
export class TargetFleet {
  private constructor(readonly targets: ReadonlyMap<string, StandinTarget>) {}

  /** Starts all targets. Each has its own random sequence, derived from the seed and its id. */
  static async start(
    targets: readonly Target[],
    initialModeOf: (target: Target) => TargetMode,
    seed: number,
  ): Promise<TargetFleet> {
    const started = targets.map(
      target =>
        new StandinTarget(
          target,
          initialModeOf(target),
          seededRandom(hash32(target.id, seed) | 0),
          systemTime,
        ),
    );
    await Promise.all(started.map(target => target.start()));
    return new TargetFleet(new Map(started.map(target => [target.target.id, target])));
  }

  /** Starts the server of the control port. */
  startControl(host: string, port: number): Promise<RunningServer> {
    const server = http.createServer((request, response) => {
      void runHandler(() => this.control(request, response), request, response);
    });
    return listen(server, host, port);
  }

  /** Stops all targets. */
  async close(): Promise<void> {
    await Promise.all([...this.targets.values()].map(target => target.close()));
  }

  private async control(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const [, root, id, subresource] = requestUrl(request).pathname.split('/');
    const records = () => [...this.targets.values()].map(target => target.statistics());
    if (root !== 'targets') return sendJson(response, 404, {error: 'no such path'});
    if (id === undefined) return sendJson(response, 200, records());
    const target = this.targets.get(id);
    if (target === undefined) return sendJson(response, 404, {error: `no target "${id}"`});
    if (request.method === 'POST' && subresource === 'mode') {
      await target.changeMode(JSON.parse(String(await readBody(request))) as Partial<TargetMode>);
    }
    sendJson(response, 200, target.statistics());
  }
}
