/** Fake operators' API with one canned answer per route, for tests of the command line. */
import * as http from 'node:http';
import * as https from 'node:https';
import type {AddressInfo} from 'node:net';
import type {ConfirmedIntent, ErrorBody, Plan, StatusReply} from '@cuminsill/types';
import {resultCodes} from '@cuminsill/types';
import type {ResultCodeKey} from '@cuminsill/types';

/** An answer; `lost` closes the connection without an answer after reading the request. */
export type FakeAnswer = {readonly status: number; readonly body: unknown} | 'lost';

/** A request that the fake API received. */
export interface ReceivedRequest {
  readonly route: string;
  readonly authorization?: string;
  readonly body: unknown;
}

/** An error answer as the system sends it. */
export function errorAnswer(key: ResultCodeKey, detail = ''): FakeAnswer {
  const {code, name, outcome, reason, httpStatus} = resultCodes[key];
  const body: ErrorBody = {code, name, outcome, reason, detail};
  return {status: httpStatus, body};
}

/** A plan that drains a site. */
export const drainPlan: Plan = {
  digest: 'digest-1',
  configVersion: 4,
  madeAtMs: 1_700_000_000_000,
  change: {
    kind: 'put-intent',
    intent: {kind: 'drain', id: 'drain-site-1', siteId: 'site-1'},
    previousShares: [],
  },
  shareChanges: [
    {
      serviceId: 'proofs',
      callerRegionId: 'este',
      before: [{regionId: 'este', share: 1}],
      after: [
        {regionId: 'este', share: 0.75},
        {regionId: 'litoral', share: 0.25},
      ],
      movedShare: 0.25,
    },
  ],
  steps: [],
  expectedDurationS: 60,
  headroom: [],
  risks: [{severity: 'warning', text: 'site-1 serves a quarter of este'}],
  signature: 'signature-1',
};

/** An intent in force. */
export const confirmedDrain: ConfirmedIntent = {
  intent: {kind: 'drain', id: 'drain-site-1', siteId: 'site-1'},
  version: 5,
  confirmedBy: 'ana',
  confirmedAtMs: 1_700_000_000_000,
  previousShares: [],
};

/** A status with one instance. */
export const statusReply: StatusReply = {
  answeredBy: 'instance-01',
  configVersion: 5,
  storeReachable: true,
  regions: [],
  moves: [],
  drains: [{intentId: 'drain-site-1', siteId: 'site-1', inFlight: 2, done: false}],
  instances: [
    {
      instanceId: 'instance-02',
      regionId: 'este',
      failureDomainId: 'este-1',
      state: 'serving',
      reachability: 'suspect',
      configVersion: 5,
      loads: [],
      shares: [],
      sites: [],
    },
  ],
};

const defaultAnswers: Readonly<Record<string, FakeAnswer>> = {
  'POST /v1/plans': {status: 200, body: drainPlan},
  'POST /v1/plans/confirm': {
    status: 200,
    body: {state: 'accepted', configVersion: 5, repeated: false},
  },
  'GET /v1/intents': {status: 200, body: {configVersion: 5, intents: [confirmedDrain]}},
  'GET /v1/intents/drain-site-1': {status: 200, body: confirmedDrain},
  'GET /v1/status': {status: 200, body: statusReply},
  'GET /v1/explain/r%2F1': {
    status: 200,
    body: {
      requestId: 'r/1',
      code: 2001,
      name: 'region-overloaded',
      outcome: 'not-run',
      reason: 'All places are busy.',
      detail: 'este: 12 of 12 slots',
      atMs: 1_700_000_000_000,
      serviceId: 'proofs',
      instanceId: 'instance-01',
      configVersion: 5,
      source: 'request-id',
    },
  },
  'GET /v1/lookup?service=proofs': {
    status: 200,
    body: {instances: [{instanceId: 'instance-01', host: '127.0.0.1', port: 20000}], maxAgeS: 5},
  },
};

/** HTTP or HTTPS server that sends the canned answers and records the requests. */
export class FakeOperatorsApi {
  readonly receivedRequests: ReceivedRequest[] = [];

  private constructor(private readonly server: http.Server | https.Server) {}

  /** Starts on a free port. The given answers override the default ones; a certificate enables TLS. */
  static async start(
    answers: Readonly<Record<string, FakeAnswer>> = {},
    tls?: {readonly cert: string; readonly key: string},
  ): Promise<FakeOperatorsApi> {
    const server = tls === undefined ? http.createServer() : https.createServer(tls);
    const api = new FakeOperatorsApi(server);
    server.on('request', (request: http.IncomingMessage, response: http.ServerResponse) => {
      void api.answer({...defaultAnswers, ...answers}, request, response);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    return api;
  }

  /** Address in the form that `--server` expects. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Stops the server. */
  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private async answer(
    answers: Readonly<Record<string, FakeAnswer>>,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString('utf8');
    const route = `${request.method} ${request.url}`;
    const body: unknown = text === '' ? undefined : JSON.parse(text);
    this.receivedRequests.push({route, authorization: request.headers.authorization, body});
    const answer = answers[route] ?? errorAnswer('notFound');
    if (answer === 'lost') return void request.socket.destroy();
    response.writeHead(answer.status, {'content-type': 'application/json'});
    response.end(typeof answer.body === 'string' ? answer.body : JSON.stringify(answer.body));
  }
}
