/**
 * Stand-in for the platform's list of instances. Like the original, it answers with an outdated list.
 *
 * - `GET /instances` returns the list as it was `lagMs` ago;
 * - `PUT /instances` replaces the list;
 * - `POST /lag` with `{"lagMs": n}` sets the lag.
 */
import * as http from 'node:http';
import type {Instance} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {RouteHandler, RunningServer} from './http_server';
import {listen, readBody, requestUrl, runHandler, sendJson} from './http_server';

/** An entry of the platform's list of instances. */
export interface ListedInstance {
  readonly instance: Instance;
  readonly state: 'live' | 'leaving';
}

interface ListVersion {
  readonly sinceMs: number;
  readonly list: readonly ListedInstance[];
}

const maxHistoryLength = 1000; // bounds memory when a test replaces the list in a loop

/** A list of instances with its recent versions. */
export class InstanceList {
  private history: ListVersion[];

  /**
   * @param initial First version of the list; it counts as older than any lag.
   * @param lagMs Age of the answers in milliseconds.
   */
  constructor(
    initial: readonly ListedInstance[],
    private lagMs: number,
    private readonly time: TimeSource,
  ) {
    this.history = [{sinceMs: Number.NEGATIVE_INFINITY, list: initial}];
  }

  /** The list as it was `lagMs` ago. */
  current(): readonly ListedInstance[] {
    const atMs = this.time.monotonicMs() - this.lagMs;
    return this.history.findLast(version => version.sinceMs <= atMs)?.list ?? [];
  }

  /** Replaces the list. Answers show the new one after the lag. */
  replace(list: readonly ListedInstance[]): void {
    this.history.push({sinceMs: this.time.monotonicMs(), list});
    if (this.history.length <= maxHistoryLength) return;
    const [, second, ...rest] = this.history;
    this.history = [{sinceMs: Number.NEGATIVE_INFINITY, list: second?.list ?? []}, ...rest];
  }

  /** Sets the age of the answers in milliseconds. */
  setLag(lagMs: number): void {
    this.lagMs = lagMs;
  }
}

/** Starts the HTTP server of a list. */
export function startInstanceListServer(
  list: InstanceList,
  host: string,
  port: number,
): Promise<RunningServer> {
  const handlers: Readonly<Record<string, RouteHandler>> = {
    'GET /instances': (_request, response) => sendJson(response, 200, list.current()),
    'PUT /instances': async (request, response) => {
      list.replace(JSON.parse(String(await readBody(request))) as readonly ListedInstance[]);
      sendJson(response, 200, {});
    },
    'POST /lag': async (request, response) => {
      const {lagMs} = JSON.parse(String(await readBody(request))) as {readonly lagMs: number};
      list.setLag(lagMs);
      sendJson(response, 200, {lagMs});
    },
  };
  const server = http.createServer((request, response) => {
    const handler = handlers[`${request.method} ${requestUrl(request).pathname}`];
    if (handler === undefined) return sendJson(response, 404, {error: 'no such path'});
    void runHandler(handler, request, response);
  });
  return listen(server, host, port);
}
