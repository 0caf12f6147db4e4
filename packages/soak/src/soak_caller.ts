/**
 * A caller: looks up the addresses of gateways, reuses one connection until it ends, and sends requests one after the
 * other. It cancels some requests early.
 */
import * as http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {callerHeaders, gatewayPages, readAnswerHead} from '@cuminsill/standins';
import type {RandomSource} from '@cuminsill/utils';
import {randomBelow} from '@cuminsill/utils';
import type {CallerTraffic} from './caller_traffic';
import type {GatewayProcess} from './gateway_process';
import type {RequestEnd} from './soak_history';
import type {SoakDeployment} from './soak_deployment';

const requestTimeoutMs = 2_000;
const lookupIntervalMs = 1_500;
const lookupTimeoutMs = 1_000;
const maxPauseMs = 40;
const cancelFraction = 0.04;
const maxCancelDelayMs = 60;
const chunkIntervalMs = 3;

/** A caller that sends requests until it is told to stop. */
export class SoakCaller {
  private agent = this.newAgent();
  private gateway: GatewayProcess | undefined;
  private knownGateways: readonly GatewayProcess[] = [];
  private lookedUpAtMs = -Infinity;
  private lastRequestNumber = 0;

  constructor(
    private readonly deployment: SoakDeployment,
    private readonly name: string,
    private readonly random: RandomSource,
    private readonly traffic: CallerTraffic,
  ) {}

  /** Sends requests one after the other while `shouldContinue` returns true. */
  async run(shouldContinue: () => boolean): Promise<void> {
    while (shouldContinue()) {
      await this.lookUp();
      await this.sendRequest();
      await sleep(this.random.next() * maxPauseMs);
    }
    this.agent.destroy();
  }

  private newAgent(): http.Agent {
    return new http.Agent({keepAlive: true, maxSockets: 1});
  }

  /**
   * Asks a random gateway for the addresses of gateways, at most once in `lookupIntervalMs`. If it does not answer, the
   * addresses of the last look-up stay in use.
   */
  private async lookUp(): Promise<void> {
    if (this.deployment.nowMs() - this.lookedUpAtMs < lookupIntervalMs) return;
    this.lookedUpAtMs = this.deployment.nowMs();
    const askedGateway = this.pick(this.deployment.gateways);
    if (askedGateway === undefined) return;
    const {host, lookupPort} = askedGateway.options;
    const url = `http://${host}:${lookupPort}${gatewayPages.lookUp}`;
    const addresses = await fetch(url, {signal: AbortSignal.timeout(lookupTimeoutMs)})
      .then(answer => answer.json() as Promise<{readonly addresses?: readonly string[]}>)
      .then(({addresses: named = []}) => named)
      .catch((): readonly string[] => []);
    const namedGateways = this.deployment.gateways.filter(({options}) =>
      addresses.includes(`${options.host}:${options.callerPort}`),
    );
    if (namedGateways.length > 0) this.knownGateways = namedGateways;
    if (this.gateway !== undefined && !this.knownGateways.includes(this.gateway)) this.disconnect();
  }

  private pick<Item>(items: readonly Item[]): Item | undefined {
    return items[randomBelow(this.random, items.length)];
  }

  private disconnect(): void {
    this.agent.destroy();
    this.agent = this.newAgent();
    this.gateway = undefined;
  }

  private async sendRequest(): Promise<void> {
    this.gateway ??= this.pick(this.knownGateways);
    const {gateway} = this;
    const {shapes, pathEnd, chunk, reconnects} = this.traffic;
    const shape = this.pick(shapes);
    if (gateway === undefined || shape === undefined) return;
    this.lastRequestNumber += 1;
    const id = `${this.name}-${this.lastRequestNumber}`;
    const path = `${shape.pathPrefix}${pathEnd(this.random)}`;
    const chunks = Array.from({length: shape.chunkCount}, () => chunk(id));
    const {incarnation} = gateway;
    const sentAtMs = this.deployment.nowMs();
    const end = await this.exchange(gateway, {id, method: shape.method, path, chunks});
    this.deployment.recorder.requests.push({
      id,
      kind: shape.kind,
      method: shape.method,
      path,
      body: chunks.join(''),
      gateway: gateway.name,
      incarnation,
      sentAtMs,
      endedAtMs: this.deployment.nowMs(),
      end,
    });
    if (end.kind !== 'answered' || reconnects) this.disconnect();
  }

  private exchange(gateway: GatewayProcess, content: RequestContent): Promise<RequestEnd> {
    const request = http.request({
      host: '127.0.0.1',
      port: gateway.options.callerLinkPort,
      path: content.path,
      method: content.method,
      agent: this.agent,
      headers: callerHeaders(content.id, requestTimeoutMs, content.path),
    });
    const cancelAfterMs =
      this.random.next() < cancelFraction
        ? this.random.next() * maxCancelDelayMs
        : requestTimeoutMs;
    const answer = new Promise<RequestEnd>(resolve => {
      const cancelTimer = setTimeout(() => {
        resolve({kind: 'left'});
        request.destroy();
      }, cancelAfterMs);
      request.once('close', () => clearTimeout(cancelTimer));
      request.once('error', error => resolve({kind: 'cut', reason: error.message}));
      request.once('response', response => void readAnswer(response).then(resolve));
    });
    void writeChunks(request, content.chunks);
    return answer;
  }
}

interface RequestContent {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly chunks: readonly string[];
}

async function writeChunks(request: http.ClientRequest, chunks: readonly string[]): Promise<void> {
  for (const [index, chunk] of chunks.entries()) {
    if (index > 0) await sleep(chunkIntervalMs);
    if (request.destroyed) return;
    request.write(chunk);
  }
  request.end();
}

async function readAnswer(response: http.IncomingMessage): Promise<RequestEnd> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) chunks.push(chunk as Buffer);
  } catch (error) {
    return {kind: 'cut', reason: (error as Error).message};
  }
  const {headers, statusCode = 0} = response;
  const {requestId, signature} = readAnswerHead(headers);
  const retryAfter = headers['retry-after'];
  return {
    kind: 'answered',
    status: statusCode,
    answeredId: requestId,
    signature,
    body: Buffer.concat(chunks).toString('utf8'),
    retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
  };
}
