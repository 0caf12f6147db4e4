/**
 * One caller: looks up where to connect, keeps its connection open until that ends, and sends requests one after the other.
 * Some requests it gives up early.
 */
import * as http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {callerHeaders, gatewayPages, readAnswerHead} from '@cuminsill/standins';
import type {RandomSource} from '@cuminsill/utils';
import {randomBelow} from '@cuminsill/utils';
import type {GatewayProcess} from './gateway_process';
import type {RequestEnd, RequestKind} from './soak_history';
import type {SoakWorld} from './soak_world';

const deadlineMs = 2_000;
const lookUpEveryMs = 1_500;
const lookUpTimeoutMs = 1_000;
const longestPauseMs = 40;
const leavingShare = 0.04;
const longestStayMs = 60;
const objectCount = 40;
const uploadPieces = 4;
const uploadPieceBytes = 8_000;
const uploadGapMs = 3;

interface RequestShape {
  readonly method: string;
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  readonly pieces: number;
}

/** What callers ask for, as often as it stands here. */
const shapes: readonly RequestShape[] = [
  {method: 'GET', pathPrefix: '/read/', kind: 'read', pieces: 0},
  {method: 'GET', pathPrefix: '/read/', kind: 'read', pieces: 0},
  {method: 'GET', pathPrefix: '/new/', kind: 'read', pieces: 0},
  {method: 'POST', pathPrefix: '/book/', kind: 'book', pieces: 1},
  {method: 'POST', pathPrefix: '/book/', kind: 'book', pieces: 1},
  {method: 'POST', pathPrefix: '/send/', kind: 'send', pieces: uploadPieces},
];

/** Sends requests until it is told to end. */
export class SoakCaller {
  private agent = this.newAgent();
  private gateway: GatewayProcess | undefined;
  private known: readonly GatewayProcess[] = [];
  private lookedUpAtMs = -Infinity;
  private lastNumber = 0;

  constructor(
    private readonly world: SoakWorld,
    private readonly name: string,
    private readonly random: RandomSource,
  ) {}

  /** Sends requests one after the other while `goesOn` holds. */
  async run(goesOn: () => boolean): Promise<void> {
    while (goesOn()) {
      await this.lookUp();
      await this.sendOne();
      await sleep(this.random.next() * longestPauseMs);
    }
    this.agent.destroy();
  }

  private newAgent(): http.Agent {
    return new http.Agent({keepAlive: true, maxSockets: 1});
  }

  /** Asks a gateway for addresses now and then; the former ones stay in use while none answers. */
  private async lookUp(): Promise<void> {
    if (this.world.nowMs() - this.lookedUpAtMs < lookUpEveryMs) return;
    this.lookedUpAtMs = this.world.nowMs();
    const asked = this.pick(this.world.gateways);
    if (asked === undefined) return;
    const {host, lookupPort} = asked.place;
    const url = `http://${host}:${lookupPort}${gatewayPages.lookUp}`;
    const addresses = await fetch(url, {signal: AbortSignal.timeout(lookUpTimeoutMs)})
      .then(answer => answer.json() as Promise<{readonly addresses?: readonly string[]}>)
      .then(({addresses: named = []}) => named)
      .catch((): readonly string[] => []);
    const found = this.world.gateways.filter(({place}) =>
      addresses.includes(`${place.host}:${place.callerPort}`),
    );
    if (found.length > 0) this.known = found;
    if (this.gateway !== undefined && !this.known.includes(this.gateway)) this.leaveGateway();
  }

  private pick<Item>(items: readonly Item[]): Item | undefined {
    return items[randomBelow(this.random, items.length)];
  }

  private leaveGateway(): void {
    this.agent.destroy();
    this.agent = this.newAgent();
    this.gateway = undefined;
  }

  private async sendOne(): Promise<void> {
    this.gateway ??= this.pick(this.known);
    const {gateway} = this;
    const shape = this.pick(shapes);
    if (gateway === undefined || shape === undefined) return;
    this.lastNumber += 1;
    const id = `${this.name}-${this.lastNumber}`;
    const path = `${shape.pathPrefix}${randomBelow(this.random, objectCount)}`;
    const pieces = Array.from({length: shape.pieces}, () => id.repeat(uploadPieceBytes / 100));
    const {incarnation} = gateway;
    const sentAtMs = this.world.nowMs();
    const end = await this.exchange(gateway, {id, method: shape.method, path, pieces});
    this.world.recorder.requests.push({
      id,
      kind: shape.kind,
      method: shape.method,
      path,
      body: pieces.join(''),
      gateway: gateway.name,
      incarnation,
      sentAtMs,
      endedAtMs: this.world.nowMs(),
      end,
    });
    if (end.kind !== 'answered') this.leaveGateway();
  }

  private exchange(gateway: GatewayProcess, sent: SentPieces): Promise<RequestEnd> {
    const request = http.request({
      host: '127.0.0.1',
      port: gateway.place.callerLinkPort,
      path: sent.path,
      method: sent.method,
      agent: this.agent,
      headers: callerHeaders(sent.id, deadlineMs, sent.path),
    });
    const leavesAfterMs =
      this.random.next() < leavingShare ? this.random.next() * longestStayMs : deadlineMs;
    const answer = new Promise<RequestEnd>(resolve => {
      const leave = setTimeout(() => {
        resolve({kind: 'left'});
        request.destroy();
      }, leavesAfterMs);
      request.once('close', () => clearTimeout(leave));
      request.once('error', error => resolve({kind: 'cut', reason: error.message}));
      request.once('response', response => void readAnswer(response).then(resolve));
    });
    void writePieces(request, sent.pieces);
    return answer;
  }
}

interface SentPieces {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly pieces: readonly string[];
}

async function writePieces(request: http.ClientRequest, pieces: readonly string[]): Promise<void> {
  for (const [index, piece] of pieces.entries()) {
    if (index > 0) await sleep(uploadGapMs);
    if (request.destroyed) return;
    request.write(piece);
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
