/**
 * Client of the platform's object API over HTTP:
 *
 * - `GET /objects/<key>` returns 200 with the value and `x-version`, or 404.
 * - `PUT /objects/<key>` creates with `if-none-match: *` and replaces with `if-match: <version>`; 409 on conflict.
 * - `DELETE /objects/<key>` with `if-match: <version>` removes; 409 on conflict.
 * - `GET /objects?prefix=&after=&limit=&waitMs=` returns a JSON list of `{key, version, valueBase64}`; with `waitMs` it
 *   is a long poll that waits for the first object.
 *
 * Status 503 means that the store did not accept the call. When the connection is lost after a write was sent, it is
 * unknown whether the write took effect.
 */
import * as http from 'node:http';
import {reportResponseFaults} from '@cuminsill/utils';
import {Effect} from 'effect';
import type {PlatformStore, StoredObject, StoreWriteError} from './platform_store';
import {StoreAmbiguousError, StoreConflictError, StoreUnavailableError} from './platform_store';

/** Address of the store and timeout of its calls. */
export interface HttpStoreOptions {
  readonly host: string;
  readonly port: number;
  /** Timeout of one call in milliseconds; a watch adds the time that it asks the store to wait. */
  readonly timeoutMs: number;
}

interface StoreResponse {
  readonly status: number;
  readonly version: bigint;
  readonly body: Buffer;
}

interface StoreCall {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
  readonly timeoutMs: number;
}

interface ListedObject {
  readonly key: string;
  readonly version: string;
  readonly valueBase64: string;
}

/** A call without a response, with whether the request may have reached the store. */
class CallFailure {
  constructor(
    readonly detail: string,
    readonly mayHaveArrived: boolean,
  ) {}
}

/** Calls the store over HTTP on pooled connections. */
export class HttpStore implements PlatformStore {
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 64});

  constructor(private readonly options: HttpStoreOptions) {}

  get(key: string): Effect.Effect<StoredObject | undefined, StoreUnavailableError> {
    return this.read({
      method: 'GET',
      path: objectPath(key),
      timeoutMs: this.options.timeoutMs,
    }).pipe(
      Effect.map(response =>
        response.status === 404
          ? undefined
          : {key, value: response.body, version: response.version},
      ),
    );
  }

  create(key: string, value: Uint8Array): Effect.Effect<bigint, StoreWriteError> {
    return this.write(key, {
      method: 'PUT',
      path: objectPath(key),
      headers: {'if-none-match': '*'},
      body: value,
      timeoutMs: this.options.timeoutMs,
    });
  }

  update(
    key: string,
    value: Uint8Array,
    expectedVersion: bigint,
  ): Effect.Effect<bigint, StoreWriteError> {
    return this.write(key, {
      method: 'PUT',
      path: objectPath(key),
      headers: {'if-match': String(expectedVersion)},
      body: value,
      timeoutMs: this.options.timeoutMs,
    });
  }

  remove(key: string, expectedVersion: bigint): Effect.Effect<void, StoreWriteError> {
    return this.write(key, {
      method: 'DELETE',
      path: objectPath(key),
      headers: {'if-match': String(expectedVersion)},
      timeoutMs: this.options.timeoutMs,
    }).pipe(Effect.asVoid);
  }

  list(
    prefix: string,
    afterKey: string,
    limit: number,
  ): Effect.Effect<readonly StoredObject[], StoreUnavailableError> {
    const query = new URLSearchParams({prefix, after: afterKey, limit: String(limit)});
    return this.readList(query, this.options.timeoutMs);
  }

  watch(
    prefix: string,
    afterKey: string,
    waitMs: number,
  ): Effect.Effect<readonly StoredObject[], StoreUnavailableError> {
    const query = new URLSearchParams({prefix, after: afterKey, waitMs: String(waitMs)});
    return this.readList(query, waitMs + this.options.timeoutMs);
  }

  /** Closes pooled connections. */
  close(): void {
    this.agent.destroy();
  }

  private readList(
    query: URLSearchParams,
    timeoutMs: number,
  ): Effect.Effect<readonly StoredObject[], StoreUnavailableError> {
    return this.read({method: 'GET', path: `/objects?${query.toString()}`, timeoutMs}).pipe(
      Effect.flatMap(response =>
        Effect.try({
          try: () => decodeList(response.body),
          catch: () => new StoreUnavailableError({detail: 'the list is not valid JSON'}),
        }),
      ),
    );
  }

  private read(call: StoreCall): Effect.Effect<StoreResponse, StoreUnavailableError> {
    return this.sendCall(call).pipe(
      Effect.mapError(failure => new StoreUnavailableError({detail: failure.detail})),
      Effect.filterOrFail(
        response => response.status === 200 || response.status === 404,
        response => new StoreUnavailableError({detail: `status ${response.status}`}),
      ),
    );
  }

  private write(key: string, call: StoreCall): Effect.Effect<bigint, StoreWriteError> {
    return this.sendCall(call).pipe(
      Effect.mapError(failure =>
        failure.mayHaveArrived
          ? new StoreAmbiguousError({detail: failure.detail})
          : new StoreUnavailableError({detail: failure.detail}),
      ),
      Effect.flatMap((response): Effect.Effect<bigint, StoreWriteError> => {
        if (response.status === 200) return Effect.succeed(response.version);
        if (response.status === 409 || response.status === 404) {
          return Effect.fail(new StoreConflictError({key}));
        }
        if (response.status === 503 || response.status === 429) {
          return Effect.fail(new StoreUnavailableError({detail: `status ${response.status}`}));
        }
        return Effect.fail(new StoreAmbiguousError({detail: `status ${response.status}`}));
      }),
    );
  }

  private sendCall(call: StoreCall): Effect.Effect<StoreResponse, CallFailure> {
    return Effect.async<StoreResponse, CallFailure>(resume => {
      let sent = false;
      const fail = (error: Error) => resume(Effect.fail(new CallFailure(error.message, sent)));
      const request = http.request({
        host: this.options.host,
        port: this.options.port,
        method: call.method,
        path: call.path,
        headers: {...call.headers, 'content-length': call.body?.byteLength ?? 0},
        agent: this.agent,
        timeout: call.timeoutMs,
      });
      request.on('socket', socket => {
        const markSent = () => (sent = true);
        if (socket.connecting) socket.once('connect', markSent);
        else markSent();
      });
      request.on('timeout', () => request.destroy(new Error(`no answer in ${call.timeoutMs} ms`)));
      request.on('error', fail);
      reportResponseFaults(request, fault => {
        fail(fault);
        request.destroy();
      });
      request.on('response', response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', fail);
        response.on('end', () => {
          const version = BigInt(String(response.headers['x-version'] ?? '0'));
          const body = Buffer.concat(chunks);
          resume(Effect.succeed({status: response.statusCode ?? 0, version, body}));
        });
      });
      request.end(call.body);
      return Effect.sync(() => request.destroy());
    });
  }
}

function objectPath(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

function decodeList(body: Buffer): readonly StoredObject[] {
  const listed = JSON.parse(body.toString('utf8')) as readonly ListedObject[];
  return listed.map(object => ({
    key: object.key,
    version: BigInt(object.version),
    value: Buffer.from(object.valueBase64, 'base64'),
  }));
}
