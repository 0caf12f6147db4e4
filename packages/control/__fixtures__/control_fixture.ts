/** Runs one control daemon in the test process, with a stand-in store. */
import {createHash} from 'node:crypto';
import * as http from 'node:http';
import * as https from 'node:https';
import {silentLogger, silentMetrics} from '@cuminsill/logger';
import type {Logger} from '@cuminsill/logger';
import type {RunningServer} from '@cuminsill/standins';
import {
  findFreePorts,
  MemoryStore,
  processLoopbackAddress,
  startStoreServer,
} from '@cuminsill/standins';
import type {Catalog, ErrorBody, Plan} from '@cuminsill/types';
import type {ControlSettings} from '@cuminsill/validation';
import {ControlSettingsSchema, decodeOrThrow} from '@cuminsill/validation';
import {Effect, Exit, Scope} from 'effect';
import type {ControlDaemon} from '../src';
import {startControlDaemon} from '../src';

/** Key that authenticates peers to the daemon and signs plans. */
export const peerKey = 'control-tests-peer-key';

/** Bearer tokens of the two roles. */
export const tokens = {operator: 'control-tests-operator', viewer: 'control-tests-viewer'} as const;

/** A catalog with two regions and one service. */
export const catalog: Catalog = {
  regions: [
    {id: 'north', name: 'North'},
    {id: 'south', name: 'South'},
  ],
  failureDomains: [
    {id: 'north-1', regionId: 'north'},
    {id: 'south-1', regionId: 'south'},
  ],
  links: [{fromRegionId: 'north', toRegionId: 'south', oneWayLatencyMs: 10}],
  services: [
    {
      id: 'reads',
      trafficClass: 'interactive',
      idempotency: 'idempotent',
      defaultTimeoutMs: 5000,
      notRunStatuses: [503],
      expectedServiceMs: 10,
    },
  ],
  targets: ['north', 'south'].map((regionId, index) => ({
    id: `reads-${regionId}`,
    serviceId: 'reads',
    siteId: `${regionId}-site`,
    regionId,
    failureDomainId: `${regionId}-1`,
    address: {host: '127.0.0.1', port: 9 + index},
    slots: 4,
    maxConnections: 100,
  })),
  clientBlocks: [{prefix: '127.1.0.0/16', regionId: 'north'}],
  demands: [{serviceId: 'reads', callerRegionId: 'north', requestsPerS: 1}],
};

/** A request to the operator API. */
export interface ApiRequest {
  readonly method?: string;
  readonly path: string;
  /** Bearer token; undefined sends no `authorization` header. */
  readonly token?: string;
  /** Sent as JSON unless it is text or bytes. */
  readonly body?: unknown;
}

/** A response of the operator API. */
export interface ApiResponse {
  readonly status: number;
  readonly body: Partial<ErrorBody> & Record<string, unknown>;
}

/** A control daemon with its store server. */
export class ControlFixture {
  readonly store = new MemoryStore();
  private readonly scope = Effect.runSync(Scope.make());
  private storeServer: RunningServer | undefined;
  private daemon: ControlDaemon | undefined;
  private decodedSettings: ControlSettings | undefined;

  /** Starts the store and the daemon; `settings` override the defaults. Rejects if the daemon fails to start. */
  async start(settings: object = {}, logger: Logger = silentLogger): Promise<void> {
    const host = processLoopbackAddress();
    this.storeServer = await startStoreServer(this.store, host, 0);
    const ports = await findFreePorts(host, 4);
    const [callers, entryPeers, peers, operators] = ports.map(port => ({host, port}));
    this.decodedSettings = decodeOrThrow('settings', ControlSettingsSchema, {
      instance: {id: 'instance-1', regionId: 'north', failureDomainId: 'north-1'},
      callers,
      entryPeers,
      peers,
      operators,
      store: this.storeServer.address,
      peerKey,
      operatorTokens: (['operator', 'viewer'] as const).map(role => ({
        name: role,
        role,
        tokenSha256: createHash('sha256').update(tokens[role]).digest('hex'),
      })),
      stopMarginS: 0,
      ...settings,
    });
    const started = startControlDaemon({
      settings: this.decodedSettings,
      logger,
      metrics: silentMetrics,
    });
    this.daemon = await Effect.runPromise(started.pipe(Scope.extend(this.scope)));
  }

  /** The settings with which the daemon was started. */
  get settings(): ControlSettings {
    return this.decodedSettings as ControlSettings;
  }

  /** Stops the daemon and the store. */
  async stop(): Promise<void> {
    if (this.daemon !== undefined) await Effect.runPromise(this.daemon.stop);
    await Effect.runPromise(Scope.close(this.scope, Exit.void));
    await this.storeServer?.close();
  }

  /** Sends a request to the operator API. Rejects if the connection closes without a response. */
  async sendRequest(request: ApiRequest, tls?: https.RequestOptions): Promise<ApiResponse> {
    const {method = 'GET', path, token, body} = request;
    const options = {
      ...this.settings.operators,
      method,
      path,
      agent: false,
      headers: token === undefined ? {} : {authorization: `Bearer ${token}`},
      ...tls,
    } as const;
    return new Promise((resolve, reject) => {
      const clientRequest = tls === undefined ? http.request(options) : https.request(options);
      clientRequest.on('error', reject);
      clientRequest.on('response', response => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            body: JSON.parse(Buffer.concat(chunks).toString('utf8')) as ApiResponse['body'],
          }),
        );
      });
      const isRawBody = typeof body === 'string' || body instanceof Uint8Array;
      clientRequest.end(isRawBody || body === undefined ? body : JSON.stringify(body));
    });
  }

  /** Requests a plan as the operator. Rejects if the response is an error. */
  async requestPlan(body: unknown): Promise<Plan> {
    const token = tokens.operator;
    const response = await this.sendRequest({method: 'POST', path: '/v1/plans', token, body});
    if (response.status !== 200) throw new Error(JSON.stringify(response.body));
    return response.body as unknown as Plan;
  }

  /** Confirms a plan as the operator. */
  confirmPlan(plan: unknown): Promise<ApiResponse> {
    const token = tokens.operator;
    return this.sendRequest({method: 'POST', path: '/v1/plans/confirm', token, body: {plan}});
  }
}
