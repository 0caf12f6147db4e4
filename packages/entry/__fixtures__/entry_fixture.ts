/** An entry with real HTTP connections and steering, scripted targets, and claims in memory. */
import * as http from 'node:http';
import type {ClaimDecision, ClaimOutcome, SendRequest} from '@cuminsill/claims';
import {silentMetrics} from '@cuminsill/logger';
import {
  defaultHedgeBudgetOptions,
  HedgeBudget,
  PoisonGuard,
  RetryBudget,
  Steering,
} from '@cuminsill/steering';
import type {Configuration, InstanceState, Member, Target} from '@cuminsill/types';
import {emptyConfiguration} from '@cuminsill/types';
import {systemTime} from '@cuminsill/utils';
import type {EntrySettings} from '@cuminsill/validation';
import {decodeOrThrow, EntrySettingsSchema} from '@cuminsill/validation';
import {Effect, FiberSet, Scope, Exit} from 'effect';
import {CallerServer} from '../src/caller_server';
import {EntryView} from '../src/entry_view';
import {Forwarder} from '../src/forwarder';
import {RefusalResponder} from '../src/refusal_responder';
import {TargetConnections} from '../src/target_connections';
import type {Script} from './scripted_target';
import {ScriptedTarget} from './scripted_target';

/** A response as the caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** False when the connection closed before the end of the response. */
  readonly isComplete: boolean;
}

/** Makes a fixed claim decision and records the reported outcomes. */
export class RecordingClaims {
  readonly outcomes: ClaimOutcome[] = [];
  decision: ClaimDecision = {decision: 'send', claimId: 'claim'};
  private readonly waiters = new Set<() => void>();

  claim(_request: SendRequest): Effect.Effect<ClaimDecision> {
    return Effect.succeed(this.decision);
  }

  complete(_key: string, _claimId: string, outcome: ClaimOutcome): Effect.Effect<boolean> {
    return Effect.sync(() => {
      this.outcomes.push(outcome);
      for (const wake of [...this.waiters]) wake();
      return true;
    });
  }

  outcomeOf() {
    return Effect.succeed({state: 'unknown'} as const);
  }

  /** Resolves with the first reported outcome. */
  async waitForOutcome(): Promise<ClaimOutcome> {
    while (this.outcomes.length === 0) {
      await new Promise<void>(resolve => this.waiters.add(resolve));
    }
    return this.outcomes[0] as ClaimOutcome;
  }
}

/** An entry and its targets, in one process. */
export class EntryFixture {
  readonly claims = new RecordingClaims();
  readonly targets: readonly ScriptedTarget[];
  state: InstanceState = 'serving';
  readonly steering: Steering;
  readonly server: CallerServer;
  private readonly connections = new TargetConnections();
  private readonly agent = new http.Agent({keepAlive: true});
  private readonly scope = Effect.runSync(Scope.make());
  private readonly view = new EntryView('region-1', 5);
  private readonly tickTimer: NodeJS.Timeout;

  constructor(scripts: readonly Script[], settings: Partial<EntrySettings> = {}) {
    this.targets = scripts.map(script => new ScriptedTarget(script));
    const effectiveSettings = {...defaultSettings(), ...settings};
    this.steering = new Steering(
      {
        instanceId: 'instance-1',
        regionId: 'region-1',
        freezeAfterMs: 60_000,
        slowStartStepMs: 0,
        queuePerSlot: 4,
        reportMaxAgeMs: 10_000,
        seed: 1,
      },
      systemTime,
    );
    const backgroundFibers = Effect.runSync(FiberSet.make().pipe(Scope.extend(this.scope)));
    const forwarder = new Forwarder({
      steering: this.steering,
      poisonGuard: new PoisonGuard(systemTime),
      retryBudget: new RetryBudget(),
      hedgeBudget: new HedgeBudget({
        ...defaultHedgeBudgetOptions,
        minSamples: 10,
        readsPerHedge: 1,
      }),
      hedging: effectiveSettings.hedging,
      latencyToRegionMs: () => 0,
      claims: this.claims,
      backgroundFibers,
      connections: this.connections,
      metrics: silentMetrics,
      time: systemTime,
      reportSoon: () => undefined,
      replayBufferBytes: effectiveSettings.replayBufferBytes,
      maxBodyBytes: effectiveSettings.maxBodyBytes,
      maxAttempts: effectiveSettings.maxAttempts,
      lateResponseTimeoutMs: 60_000,
    });
    this.server = new CallerServer({
      settings: effectiveSettings,
      view: this.view,
      forwarder,
      refusalResponder: new RefusalResponder(effectiveSettings.peerKey),
      claims: this.claims,
      metrics: silentMetrics,
      time: systemTime,
      state: () => this.state,
    });
    this.tickTimer = setInterval(() => this.steering.tick(), 10);
  }

  /** Starts the targets and the entry; each target gets the given number of slots. */
  async start(slots = 3): Promise<void> {
    const ports = await Promise.all(this.targets.map(target => target.start()));
    const configuration = configurationFor(ports, slots);
    this.view.adoptConfiguration(configuration);
    this.view.adoptMembers([ownMember]);
    this.steering.updateConfiguration(configuration);
    this.steering.updateMembers([ownMember]);
    await this.server.listen();
  }

  /** Stops the entry and its targets. */
  async stop(): Promise<void> {
    clearInterval(this.tickTimer);
    this.agent.destroy();
    await Promise.all(this.targets.map(target => target.stop()));
    await this.server.close();
    this.connections.close();
    Effect.runSync(Scope.close(this.scope, Exit.void));
  }

  /** Sends a request to the entry and resolves with the response. */
  async send(path: string, options: http.RequestOptions = {}, body = ''): Promise<CallerResponse> {
    const request = this.openRequest(path, options);
    request.end(body);
    return readResponse(request);
  }

  /** Opens a request to the entry; the test writes the body and ends it. */
  openRequest(path: string, options: http.RequestOptions = {}): http.ClientRequest {
    return http.request({
      host: '127.0.0.1',
      port: this.server.port(),
      path,
      agent: this.agent,
      ...options,
    });
  }

  /** Number of requests that reached a target. */
  arrivalCount(): number {
    return this.targets.reduce((sum, target) => sum + target.arrivedPaths.length, 0);
  }
}

/** Resolves with the response to a request, complete or truncated. */
export function readResponse(request: http.ClientRequest): Promise<CallerResponse> {
  return new Promise((resolve, reject) => {
    request.on('error', reject);
    request.on('response', response => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
          isComplete: response.complete,
        }),
      );
    });
  });
}

function defaultSettings(): EntrySettings {
  const address = {host: '127.0.0.1', port: 1};
  const settings = decodeOrThrow('settings', EntrySettingsSchema, {
    instance: {id: 'instance-1', regionId: 'region-1', failureDomainId: 'domain-1'},
    callers: address,
    peers: address,
    control: address,
    peerKey: 'a-key-for-tests-only',
  });
  return {...settings, callers: {host: '127.0.0.1', port: 0}};
}

const address = {host: '127.0.0.1', port: 1};

const ownMember: Member = {
  instance: {
    id: 'instance-1',
    regionId: 'region-1',
    failureDomainId: 'domain-1',
    callerAddress: address,
    entryPeerAddress: address,
    controlPeerAddress: address,
  },
  state: 'serving',
  reachability: 'reachable',
  incarnation: 1,
  configVersion: 1,
};

function configurationFor(ports: readonly number[], slots: number): Configuration {
  const contract = {
    trafficClass: 'interactive',
    defaultTimeoutMs: 5000,
    notRunStatuses: [503],
    expectedServiceMs: 10,
  } as const;
  const targetsOf = (serviceId: string): readonly Target[] =>
    ports.map((port, index) => ({
      id: `${serviceId}-${index}`,
      serviceId,
      siteId: 'site-1',
      regionId: 'region-1',
      failureDomainId: 'domain-1',
      address: {host: '127.0.0.1', port},
      slots,
      maxConnections: 100,
    }));
  return {
    ...emptyConfiguration,
    version: 1,
    catalog: {
      ...emptyConfiguration.catalog,
      regions: [{id: 'region-1', name: 'Region 1'}],
      failureDomains: [{id: 'domain-1', regionId: 'region-1'}],
      services: [
        {...contract, id: 'reads', idempotency: 'idempotent'},
        {...contract, id: 'orders', idempotency: 'non-idempotent'},
      ],
      targets: [...targetsOf('reads'), ...targetsOf('orders')],
      demands: [
        {serviceId: 'reads', callerRegionId: 'region-1', requestsPerS: 10},
        {serviceId: 'orders', callerRegionId: 'region-1', requestsPerS: 10},
      ],
    },
  };
}
