/** What a caller of the soak sends: ordinary requests, or requests that crash the targets that run them. */
import type {RandomSource} from '@cuminsill/utils';
import {randomBelow} from '@cuminsill/utils';
import type {RequestKind} from './soak_history';

/** A kind of request of a caller. */
export interface RequestShape {
  readonly method: string;
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  readonly chunkCount: number;
}

/** The requests of a caller. */
export interface CallerTraffic {
  /** Requests from which the caller chooses at random; one that is listed twice is chosen twice as often. */
  readonly shapes: readonly RequestShape[];
  /** Returns the part of a path that follows the prefix. */
  pathEnd(random: RandomSource): string;
  /** Returns one chunk of a request's body. */
  chunk(requestId: string): string;
  /** Whether the caller asks another gateway for each request. */
  readonly reconnects: boolean;
}

const objectCount = 40;
const chunksPerUpload = 4;
const idRepeatsPerChunk = 80;

const read: RequestShape = {method: 'GET', pathPrefix: '/read/', kind: 'read', chunkCount: 0};
const readNew: RequestShape = {...read, pathPrefix: '/new/'};
const book: RequestShape = {method: 'POST', pathPrefix: '/book/', kind: 'book', chunkCount: 1};
const send: RequestShape = {
  method: 'POST',
  pathPrefix: '/send/',
  kind: 'send',
  chunkCount: chunksPerUpload,
};

/** Different requests, each of which every target can run. */
export const ordinaryTraffic: CallerTraffic = {
  shapes: [read, read, readNew, book, book, send],
  pathEnd: random => String(randomBelow(random, objectCount)),
  chunk: requestId => requestId.repeat(idRepeatsPerChunk),
  reconnects: false,
};

const crashPathEnd = 'crash';

/** The same two requests again and again, at any gateway. */
export const crashingTraffic: CallerTraffic = {
  shapes: [read, book],
  pathEnd: () => crashPathEnd,
  chunk: () => crashPathEnd,
  reconnects: true,
};

/** Whether a request with this path crashes the target that runs it. */
export function crashesTargets(path: string): boolean {
  return path.endsWith(`/${crashPathEnd}`);
}
