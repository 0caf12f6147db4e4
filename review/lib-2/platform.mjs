/**
 * Stand-ins of the platform for the cases 6 to 10: the metadata store, endpoints and the operator's records, written from
 * PROTOCOL.md. They listen on loopback addresses only and do nothing that the pages do not allow.
 */
import * as http from 'node:http';

/** PROTOCOL.md: a list holds "about 500" items at most. */
const pageSize = 500;

/** The metadata store: objects by kind and name, one revision counter, lists by pages, and watches. */
export class Store {
  /** Time until the store has read or written (the page: 4 ms an answer), in milliseconds. */
  answerMs = 4;
  /** One-way delay of the link to the store, in milliseconds. */
  oneWayMs = 0;
  /** How far reads with `serializable` = 1 may be behind, in milliseconds. */
  serializableLagMs = 0;
  /** While true, connections are reset and nothing is done. */
  isDown = false;
  /** Called when a call has arrived, with its kind and query. */
  onCall = () => undefined;
  /** Called when a call has been answered, with its kind, query and the body. */
  onAnswered = () => undefined;

  #kinds = new Map();
  #events = [];
  #revision = 1;
  #listeners = new Set();
  #sockets = new Set();
  #server = http.createServer((request, response) => void this.#serve(request, response));

  async listen(host, port) {
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', socket => {
      if (this.isDown) {
        socket.resetAndDestroy();
        return;
      }
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Goes down: open connections are reset, and new ones too, until `isDown` is false again. */
  goDown() {
    this.isDown = true;
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Creates or replaces an object, as the operator or an endpoint does. Returns the moment of the acknowledgement. */
  put(kind, name, spec) {
    const objects = this.#kinds.get(kind) ?? new Map();
    this.#kinds.set(kind, objects);
    const former = objects.get(name);
    this.#revision += 1;
    const metadata = {
      name,
      revision: this.#revision,
      createRev: former?.metadata.createRev ?? this.#revision,
      finalizers: [],
      deleting: false,
    };
    const object = {metadata, spec, status: null};
    objects.set(name, object);
    return this.#record({kind, object, deleted: false});
  }

  remove(kind, name) {
    const object = this.#kinds.get(kind)?.get(name);
    if (object === undefined) return undefined;
    this.#kinds.get(kind).delete(name);
    this.#revision += 1;
    return this.#record({kind, object, deleted: true});
  }

  get(kind, name) {
    return this.#kinds.get(kind)?.get(name);
  }

  #record(event) {
    const atMs = performance.now();
    this.#events.push({...event, revision: this.#revision, atMs});
    for (const listener of [...this.#listeners]) listener();
    return atMs;
  }

  async #serve(request, response) {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, kind, name] = /^\/cuminsill\/objects\/([^/]+)(?:\/([^/]+))?/.exec(url.pathname) ?? [];
    const {searchParams: query} = url;
    const body = await readJson(request);
    await sleep(this.oneWayMs);
    const context = {method: request.method, kind, name, query, body, response};
    this.onCall(context);
    await sleep(this.answerMs);
    if (this.isDown || response.destroyed) return;
    if (kind === undefined) this.#answer(context, 404, {});
    else if (request.method === 'GET') this.#read(context);
    else this.#write(context);
  }

  async #answer(context, status, body) {
    const {response} = context;
    await sleep(this.oneWayMs);
    if (this.isDown || response.destroyed) return;
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      'Store-Era': '1',
    });
    response.end(text);
    this.onAnswered({...context, status, body});
  }

  #read(context) {
    const {kind, name, query} = context;
    const object = name === undefined ? undefined : this.get(kind, decodeURIComponent(name));
    if (name !== undefined) {
      void this.#answer(context, object === undefined ? 404 : 200, object ?? {});
    } else if (query.has('watch')) {
      this.#watch(context);
    } else {
      const after = query.get('after') ?? '';
      const all = [...(this.#kinds.get(kind)?.values() ?? [])]
        .filter(({metadata}) => metadata.name > after)
        .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
      const items = all.slice(0, pageSize);
      void this.#answer(context, 200, {
        items,
        hasMore: all.length > pageSize,
        asOf: this.#revision,
      });
    }
  }

  /** A watch with `serializable` = 1 reads a state that is `serializableLagMs` old, but never one before its revision. */
  #watch(context) {
    const {kind, query, response} = context;
    const from = Number(query.get('watch'));
    const waitMs = Math.min(30_000, Number(query.get('waitMs') ?? 0));
    const lagMs = query.get('serializable') === '1' ? this.serializableLagMs : 0;
    let timers = [];
    const visible = () => {
      const untilMs = performance.now() - lagMs;
      const seen = this.#events.filter(({atMs}) => atMs <= untilMs);
      const asOf = Math.max(from, lagMs === 0 ? this.#revision : (seen.at(-1)?.revision ?? from));
      const events = seen.filter(event => event.kind === kind && event.revision > from);
      return {events: events.map(({object, deleted}) => ({object, deleted})), asOf};
    };
    const finish = answer => {
      stop();
      void this.#answer(context, 200, answer);
    };
    const check = () => {
      const answer = visible();
      if (answer.events.length > 0) finish(answer);
    };
    const onChange = () => {
      if (lagMs === 0) check();
      else timers.push(setTimeout(check, lagMs + 5));
    };
    const stop = () => {
      this.#listeners.delete(onChange);
      for (const timer of timers) clearTimeout(timer);
      timers = [];
    };
    this.#listeners.add(onChange);
    timers.push(setTimeout(() => finish(visible()), waitMs));
    // Changes before this call that the state read now does not show yet.
    for (const {atMs} of this.#events) {
      const dueMs = atMs + lagMs - performance.now();
      if (dueMs > 0) timers.push(setTimeout(check, dueMs + 5));
    }
    response.once('close', stop);
    check();
  }

  #write(context) {
    const {method, kind, name, body} = context;
    const objectName = decodeURIComponent(name ?? body.metadata?.name ?? '');
    const existing = this.get(kind, objectName);
    if (method === 'POST' && existing !== undefined) {
      void this.#answer(context, 409, existing);
    } else if (method !== 'POST' && existing === undefined) {
      void this.#answer(context, 404, {});
    } else if (method === 'DELETE') {
      this.remove(kind, objectName);
      void this.#answer(context, 200, existing);
    } else {
      const same =
        existing !== undefined && JSON.stringify(existing.spec) === JSON.stringify(body.spec);
      if (!same) this.put(kind, objectName, body.spec);
      void this.#answer(context, 200, this.get(kind, objectName));
    }
  }
}

/** An endpoint: runs requests that name it, and answers with its signature. */
export class Endpoint {
  isLeaving = false;
  /** Requests that it ran: id, path and moment. */
  runs = [];
  #server = http.createServer((request, response) => void this.#serve(request, response));

  /** @param answer Writes the answer to a request that ran; by default a short body with a length. */
  constructor(id, {workMs = 20, answer = sendShortAnswer} = {}) {
    this.id = id;
    this.workMs = workMs;
    this.answer = answer;
  }

  async listen(host, port) {
    this.host = host;
    this.port = port;
    this.#server.keepAliveTimeout = 10_000;
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** What the endpoint writes to the store about itself. */
  entry(service, zone, changes = {}) {
    return {
      service,
      address: `${this.host}:${this.port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      seq: 1,
      born: 1_700_000_000_000,
      ...changes,
    };
  }

  async #serve(request, response) {
    const requestId = String(request.headers['request-id'] ?? '');
    if (request.url === '/health') {
      response.writeHead(this.isLeaving ? 503 : 200, {'Instance-Id': this.id});
      response.end();
      return;
    }
    const body = await readBody(request);
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        'Request-Id': requestId,
        'Not-Executed': '1',
        'Content-Length': 0,
      });
      response.end();
      return;
    }
    this.runs.push({requestId, path: request.url, atMs: performance.now(), body});
    await sleep(this.workMs);
    const headers = {
      'Request-Id': requestId,
      'Response-Stamp': `stamp.${this.id}.${requestId}`,
      'Server-Load': '0,0,8',
      ...(this.isLeaving ? {'Server-Leaving': '1'} : {}),
    };
    this.answer(response, headers, this);
  }
}

function sendShortAnswer(response, headers, {id}) {
  const body = `answer of ${id}`;
  response.writeHead(200, {...headers, 'Content-Length': body.length});
  response.end(body);
}

/** A configuration with one service and an idempotent and a non-idempotent route, with the limits of the example site. */
export function configuration(version, hosts, services) {
  return {
    version,
    services: services.map(name => ({name, healthPath: '/health', coldStartS: 3, coldPerS: 3.5})),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    hosts,
  };
}

export function route(name, pathPrefix, kind, service) {
  return {
    name,
    pathPrefix,
    kind,
    timeoutMs: 10_000,
    targetLatencyMs: 400,
    priority: 1,
    attempts: 2,
    sticky: true,
    homeRegions: [],
    service,
  };
}

export function sleep(ms) {
  return ms <= 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, ms));
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

async function readJson(request) {
  const text = await readBody(request).catch(() => '');
  return text === '' ? {} : JSON.parse(text);
}
