/**
 * The platform's lagging list of instances, read at intervals: `GET /instances` answers a JSON list of
 * `{instance, state}` with state `live` or `leaving`. While it cannot be read, the last list stays. Two control
 * processes per region read it; gossip tells the others, so that the reads do not grow with the fleet.
 */
import * as http from 'node:http';
import type {ListedInstance} from '@cuminsill/membership';
import type {Instance, Member, SocketAddress} from '@cuminsill/types';
import {rankByRendezvous} from '@cuminsill/utils';
import {decodeJsonOrThrow, Identifier, SocketAddressSchema} from '@cuminsill/validation';
import {Duration, Effect, Schema} from 'effect';

const InstanceListSchema = Schema.Array(
  Schema.Struct({
    instance: Schema.Struct({
      id: Identifier,
      regionId: Identifier,
      failureDomainId: Identifier,
      callerAddress: SocketAddressSchema,
      entryPeerAddress: SocketAddressSchema,
      controlPeerAddress: SocketAddressSchema,
    }),
    state: Schema.Literal('live', 'leaving'),
  }),
);

const requestTimeoutMs = 5000;
const maxListBytes = 8_388_608;

/** Keeps the last list. */
export class InstanceListClient {
  private listed: readonly ListedInstance[] = [];

  constructor(
    private readonly address: SocketAddress | undefined,
    private readonly intervalS: number,
    private readonly isReader: () => boolean,
  ) {}

  /** The list as last read. */
  current(): readonly ListedInstance[] {
    return this.listed;
  }

  /** Reads the list at intervals until interrupted. */
  run(): Effect.Effect<never> {
    return this.refresh().pipe(
      Effect.ignore,
      Effect.zipRight(Effect.sleep(Duration.seconds(this.intervalS))),
      Effect.forever,
    );
  }

  private refresh(): Effect.Effect<void, unknown> {
    const {address} = this;
    if (address === undefined || !this.isReader()) return Effect.void;
    return Effect.tryPromise(signal => getText(address, signal)).pipe(
      Effect.map(text => {
        const list = decodeJsonOrThrow('instance list', InstanceListSchema, text);
        this.listed = list.map(({instance, state}) => ({instance, leaving: state === 'leaving'}));
      }),
    );
  }
}

function getText(address: SocketAddress, signal: AbortSignal): Promise<string> {
  return new Promise((resolve, reject) => {
    const request = http.get({...address, path: '/instances', signal, timeout: requestTimeoutMs});
    request.on('timeout', () => request.destroy(new Error('no answer in time')));
    request.on('error', reject);
    request.on('response', response => {
      const chunks: Buffer[] = [];
      let length = 0;
      response.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length > maxListBytes) request.destroy(new Error('the list is too large'));
        else chunks.push(chunk);
      });
      response.on('error', reject);
      response.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    });
  });
}

const readersPerRegion = 2;

/** Whether an instance reads the list for its region. An instance that knows no other one does. */
export function isListReader(self: Instance, members: readonly Member[]): boolean {
  const candidates = members
    .filter(({instance}) => instance.regionId === self.regionId)
    .filter(({reachability}) => reachability === 'reachable')
    .map(({instance}) => instance.id);
  const ranked = rankByRendezvous(`instance-list/${self.regionId}`, candidates);
  return ranked.length === 0 || ranked.slice(0, readersPerRegion).includes(self.id);
}
