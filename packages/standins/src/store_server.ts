/**
 * Serves a {@link MemoryStore} over the HTTP API that `packages/store/src/http_store.ts` describes, with two additions:
 *
 * - `POST /faults` with {@link StoreFaultSettings} sets the faults of the following calls;
 * - `GET /counts` returns the numbers of calls so far.
 */
import * as http from 'node:http';
import type {StoreWriteError, StoredObject} from '@cuminsill/store';
import {Cause, Effect, Exit} from 'effect';
import type {RunningServer} from './http_server';
import {listen, readBody, requestUrl, runHandler, sendJson} from './http_server';
import type {MemoryStore, StoreFault} from './memory_store';

/** Faults of the following calls. A field that is left out switches its fault off. */
export interface StoreFaultSettings {
  /** Answers every call with status 503. */
  readonly outage?: boolean;
  /** Delay of every call in milliseconds. */
  readonly latencyMs?: number;
  /** Closes the connections of the next writes instead of answering them. */
  readonly lostAnswers?: {readonly count: number; readonly appliesWrite: boolean};
}

/** Applies fault settings to a store. */
export function applyStoreFaults(store: MemoryStore, settings: StoreFaultSettings): void {
  let lostAnswersLeft = settings.lostAnswers?.count ?? 0;
  const lostAnswer: StoreFault = settings.lostAnswers?.appliesWrite
    ? 'answer-lost-after-write'
    : 'answer-lost-before-write';
  store.setLatency(settings.latencyMs ?? 0);
  store.setFaultPlan(kind => {
    if (settings.outage) return 'unavailable';
    if (kind !== 'write' || lostAnswersLeft === 0) return 'none';
    lostAnswersLeft -= 1;
    return lostAnswer;
  });
}

/** Starts the HTTP server of a store. */
export function startStoreServer(
  store: MemoryStore,
  host: string,
  port: number,
): Promise<RunningServer> {
  const server = http.createServer((request, response) => {
    const url = requestUrl(request);
    const handler = url.pathname.startsWith('/objects/')
      ? objectHandlers[request.method ?? '']
      : serverHandlers[`${request.method} ${url.pathname}`];
    if (handler === undefined) return sendJson(response, 404, {error: 'no such path'});
    const call: StoreRequest = {store, url, request, response};
    void runHandler(() => handler(call), request, response);
  });
  return listen(server, host, port);
}

interface StoreRequest {
  readonly store: MemoryStore;
  readonly url: URL;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

type StoreHandler = (call: StoreRequest) => Promise<void>;

const objectHandlers: Readonly<Record<string, StoreHandler>> = {
  GET: async call => {
    const key = keyOf(call.url);
    await runAndAnswer(call, call.store.get(key), object => {
      if (object === undefined) return sendJson(call.response, 404, {error: 'no such object'});
      call.response.writeHead(200, {'x-version': String(object.version)});
      call.response.end(object.value);
    });
  },
  PUT: async call => {
    const key = keyOf(call.url);
    const value = await readBody(call.request);
    const expected = call.request.headers['if-match'];
    const write =
      expected === undefined
        ? createObject(call, key, value)
        : call.store.update(key, value, BigInt(expected));
    await runAndAnswer(call, write, version => sendVersion(call.response, version));
  },
  DELETE: async call => {
    const expected = BigInt(call.request.headers['if-match'] ?? '0');
    const removal = call.store.remove(keyOf(call.url), expected);
    await runAndAnswer(call, removal, () => sendVersion(call.response, 0n));
  },
};

const serverHandlers: Readonly<Record<string, StoreHandler>> = {
  'GET /objects': async call => {
    const query = call.url.searchParams;
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const waitMs = query.get('waitMs');
    const read =
      waitMs === null
        ? call.store.list(prefix, after, Number(query.get('limit') ?? 1000))
        : call.store.watch(prefix, after, Number(waitMs));
    await runAndAnswer(call, read, objects =>
      sendJson(call.response, 200, objects.map(encodeObject)),
    );
  },
  'POST /faults': async call => {
    const settings = JSON.parse(String(await readBody(call.request))) as StoreFaultSettings;
    applyStoreFaults(call.store, settings);
    sendJson(call.response, 200, settings);
  },
  'GET /counts': async call => sendJson(call.response, 200, call.store.callCounts()),
};

function createObject(
  call: StoreRequest,
  key: string,
  value: Uint8Array,
): Effect.Effect<bigint, StoreWriteError> {
  if (call.request.headers['if-none-match'] !== '*') {
    throw new Error('a PUT needs "if-none-match: *" or "if-match: <version>"');
  }
  return call.store.create(key, value);
}

/** Runs a store call and answers with its result. Interrupts it when the client closes the connection. */
async function runAndAnswer<A>(
  call: StoreRequest,
  effect: Effect.Effect<A, StoreWriteError>,
  onSuccess: (value: A) => void,
): Promise<void> {
  const abort = new AbortController();
  call.response.on('close', () => abort.abort());
  const exit = await Effect.runPromiseExit(effect, {signal: abort.signal});
  if (Exit.isSuccess(exit)) return onSuccess(exit.value);
  if (Cause.isInterruptedOnly(exit.cause)) return;
  const failure = Cause.failureOption(exit.cause);
  const tag = failure._tag === 'Some' ? failure.value._tag : 'defect';
  failureResponders[tag](call.response);
}

const failureResponders: Readonly<
  Record<StoreWriteError['_tag'] | 'defect', (response: http.ServerResponse) => void>
> = {
  StoreConflictError: response => sendJson(response, 409, {error: 'conflict'}),
  StoreUnavailableError: response => sendJson(response, 503, {error: 'unavailable'}),
  StoreAmbiguousError: response => void response.destroy(),
  defect: response => sendJson(response, 500, {error: 'internal error'}),
};

function sendVersion(response: http.ServerResponse, version: bigint): void {
  response.writeHead(200, {'x-version': String(version), 'content-length': 0});
  response.end();
}

function encodeObject(object: StoredObject): object {
  return {
    key: object.key,
    version: String(object.version),
    valueBase64: Buffer.from(object.value).toString('base64'),
  };
}

function keyOf(url: URL): string {
  return url.pathname.slice('/objects/'.length).split('/').map(decodeURIComponent).join('/');
}
