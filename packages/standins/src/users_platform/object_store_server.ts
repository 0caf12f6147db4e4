/**
 * Stand-in for the store of the users' platform, implemented from the platform's documentation: objects with revisions,
 * watches, conditional writes, and simulated faults.
 */
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import type {ObjectEvent, TableCopy} from './object_table';
import {ObjectTable} from './object_table';

/**
 * How the store answers: `up` normally, `busy` with status 503, `rate-limited` with status 429; `reset` resets the
 * connection and `silent` never answers.
 */
export type StoreMode = 'up' | 'busy' | 'rate-limited' | 'reset' | 'silent';

/** Simulated fault of the store. */
export interface ObjectStoreFault {
  readonly mode: StoreMode;
  /** Delay before each answer, in milliseconds. */
  readonly delayMs: number;
  /** Applies writes and closes the connection instead of answering them. */
  readonly losesWriteAnswers: boolean;
  /** Restricts the mode to calls for objects of this kind. */
  readonly onlyKind?: string;
}

/** The store answers normally. */
export const noObjectStoreFault: ObjectStoreFault = {
  mode: 'up',
  delayMs: 0,
  losesWriteAnswers: false,
};

const defaultPageSize = 500;
const objectsPath = /^\/cuminsill\/objects\/([^/]+)(?:\/([^/]+?))?(\/status)?$/;

interface StoreCall {
  readonly kind: string;
  readonly name: string | undefined;
  readonly status: boolean;
  readonly query: URLSearchParams;
  readonly body: Readonly<Record<string, unknown>>;
}

interface Watch {
  readonly kind: string;
  /** Revision after which changes are returned. */
  readonly revision: number;
  readonly waitMs: number;
  /** Age of the state that is read, in milliseconds. */
  readonly lagMs: number;
}

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

type CallHandler = (call: StoreCall, response: http.ServerResponse) => Reply | undefined;

/** Object store that listens on a free port of the loopback address. */
export class ObjectStoreServer {
  readonly table = new ObjectTable();
  fault: ObjectStoreFault = noObjectStoreFault;
  /** Changes the JSON text of answers; for content that cannot be made from values, such as numbers out of range. */
  rewriteAnswer: (text: string) => string = text => text;
  /** Serializable reads return a state of this age, in milliseconds. */
  serializableLagMs = 0;
  /** Whether watches that are not serializable return a state of that age as well. */
  hasStaleWatches = false;
  /** How the store answers a read that is not serializable, if it has no other fault; called for each. */
  linearizableReadMode: () => StoreMode = () => 'up';
  /** Maximum number of objects in a page of a list. */
  pageSize = defaultPageSize;
  /** Called when a page of a list has been read, before it is answered. */
  onPageRead: (kind: string, afterName: string) => void = () => undefined;
  /** Received calls as `METHOD kind`, in order. */
  readonly calls: string[] = [];
  private era = 1;
  private readonly connections = new Set<Socket>();
  private readonly silentConnections = new WeakSet<Socket>();
  private readonly server = http.createServer((request, response) => {
    void this.serve(request, response);
  });
  private readonly handlers: Readonly<Record<string, CallHandler>> = {
    GET: (call, response) => this.read(call, response),
    POST: call => this.create(call),
    PUT: call => this.replace(call),
    DELETE: call => this.remove(call),
  };

  /** Starts listening and returns the port. */
  async start(): Promise<number> {
    this.server.on('connection', connection => {
      this.connections.add(connection);
      connection.once('close', () => this.connections.delete(connection));
    });
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Stops listening and closes all connections. */
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Leaves the open connections without any further answer, while new ones work. */
  silenceConnections(): void {
    for (const connection of this.connections) this.silentConnections.add(connection);
  }

  /** Comes back from an older copy, in a new era. Open connections are closed. */
  restore(copy: TableCopy): void {
    this.table.restore(copy);
    this.era += 1;
    this.cutConnections();
  }

  /** Closes all open connections, as at the start of an outage. */
  cutConnections(): void {
    this.server.closeAllConnections();
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, kind, name, status] = objectsPath.exec(url.pathname) ?? [];
    const method = request.method ?? 'GET';
    const body = await readJson(request);
    this.calls.push(`${method} ${kind ?? url.pathname}`);
    if (this.fault.delayMs > 0) await sleep(this.fault.delayMs);
    const isLinearizableRead = method === 'GET' && url.searchParams.get('serializable') !== '1';
    if (this.answerWithFault(kind, isLinearizableRead, response)) return;
    const handler = this.handlers[method];
    if (kind === undefined || handler === undefined) {
      this.answer(response, {status: 404, body: {}});
      return;
    }
    const call = {kind, name, status: status !== undefined, query: url.searchParams, body};
    const reply = handler(call, response);
    if (reply === undefined) return;
    if (method !== 'GET' && this.fault.losesWriteAnswers) response.destroy();
    else this.answer(response, reply);
  }

  /** Answers, unless the connection has fallen silent. Returns true, because nothing is left to be done for the call. */
  private answer(response: http.ServerResponse, reply: Reply): true {
    const {socket} = response;
    if (socket !== null && this.silentConnections.has(socket)) return true;
    response.setHeader('Store-Era', String(this.era));
    send(response, reply.status, this.rewriteAnswer(JSON.stringify(reply.body)));
    return true;
  }

  private answerWithFault(
    kind: string | undefined,
    isLinearizableRead: boolean,
    response: http.ServerResponse,
  ): boolean {
    const mode = this.modeOf(kind, isLinearizableRead);
    const faultAnswers: Readonly<Record<StoreMode, () => boolean>> = {
      up: () => false,
      busy: () => this.answer(response, {status: 503, body: {}}),
      'rate-limited': () => this.answer(response, {status: 429, body: {}}),
      reset: () => {
        response.socket?.resetAndDestroy();
        return true;
      },
      silent: () => true,
    };
    return faultAnswers[mode]();
  }

  private modeOf(kind: string | undefined, isLinearizableRead: boolean): StoreMode {
    const {mode, onlyKind} = this.fault;
    const isConcerned = onlyKind === undefined || onlyKind === kind;
    if (mode !== 'up' && isConcerned) return mode;
    return isLinearizableRead ? this.linearizableReadMode() : 'up';
  }

  private read(call: StoreCall, response: http.ServerResponse): Reply | undefined {
    const {kind, name, query} = call;
    if (name !== undefined) {
      const object = this.table.get(kind, name);
      return object === undefined ? {status: 404, body: {}} : {status: 200, body: object};
    }
    const watch = query.get('watch');
    if (watch === null) return this.list(kind, query.get('after') ?? '');
    const isStale = this.hasStaleWatches || query.get('serializable') === '1';
    const lagMs = isStale ? this.serializableLagMs : 0;
    const waitMs = Number(query.get('waitMs') ?? 0);
    this.watch({kind, revision: Number(watch), waitMs, lagMs}, response);
    return undefined;
  }

  private list(kind: string, after: string): Reply {
    const objects = this.table.list(kind).filter(({metadata}) => metadata.name > after);
    const items = objects.slice(0, this.pageSize);
    const hasMore = objects.length > this.pageSize;
    const body = {items, hasMore, asOf: this.table.revision};
    this.onPageRead(kind, after);
    return {status: 200, body};
  }

  private watch({kind, revision, waitMs, lagMs}: Watch, response: http.ServerResponse): void {
    // A watch never goes back behind the revision that it starts from.
    const visibleRevision = () =>
      Math.max(revision, this.table.revisionAt(performance.now() - lagMs));
    const visibleEvents = () => {
      const asOf = visibleRevision();
      return this.table.changesAfter(kind, revision)?.filter(event => event.revision <= asOf);
    };
    const answer = (events: readonly ObjectEvent[]) => {
      const changes = events.map(({object, deleted}) => ({object, deleted}));
      finish({status: 200, body: {events: changes, asOf: visibleRevision()}});
    };
    const finish = (reply: Reply) => {
      stopWatching();
      this.answer(response, reply);
    };
    const checkForChanges = () => {
      const events = visibleEvents();
      if (events === undefined) finish({status: 410, body: {}});
      else if (events.length > 0) answer(events);
    };
    const onChange = () => {
      checkForChanges();
      if (lagMs > 0) timers.push(setTimeout(checkForChanges, lagMs + 1));
    };
    const timers = [setTimeout(() => answer(visibleEvents() ?? []), waitMs)];
    // Changes from before this call may become visible during it.
    if (lagMs > 0) timers.push(setTimeout(checkForChanges, lagMs + 1));
    const unsubscribe = this.table.onChange(onChange);
    const stopWatching = () => {
      for (const timer of timers) clearTimeout(timer);
      unsubscribe();
    };
    response.once('close', stopWatching);
    checkForChanges();
  }

  private create({kind, body}: StoreCall): Reply {
    const metadata = (body['metadata'] ?? {}) as {readonly name?: string};
    const result = this.table.create(kind, metadata.name ?? '', {spec: body['spec']});
    return {status: result.status, body: result.object ?? {}};
  }

  private replace({kind, name, status, body, query}: StoreCall): Reply {
    const metadata = (body['metadata'] ?? {}) as {readonly revision?: number};
    const queryRevision = query.get('revision');
    const revision =
      metadata.revision ?? (queryRevision === null ? undefined : Number(queryRevision));
    const change = status ? {status: body['status']} : {spec: body['spec']};
    const result = this.table.replace(kind, name ?? '', change, revision);
    return {status: result.status, body: result.object ?? {}};
  }

  private remove({kind, name, query}: StoreCall): Reply {
    const revision = query.get('revision');
    const expectedRevision = revision === null ? undefined : Number(revision);
    const result = this.table.remove(kind, name ?? '', expectedRevision);
    return {status: result.status, body: result.object ?? {}};
  }
}

function send(response: http.ServerResponse, status: number, text: string): void {
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

async function readJson(request: http.IncomingMessage): Promise<Readonly<Record<string, unknown>>> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
