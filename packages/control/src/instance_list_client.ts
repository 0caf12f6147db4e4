/**
 * Polls the platform's instance list, which may lag behind. `GET /instances` returns a JSON array of
 * `{instance, state}` with state `live` or `leaving`. If a read fails, the last list stays in use. Only two control
 * processes per region read the list and the others learn of instances by gossip, so the number of reads does not grow
 * with the fleet.
 */
import * as http from 'node:http';
import type {ListedInstance} from '@cuminsill/membership';
import type {Instance, Member, SocketAddress} from '@cuminsill/types';
import {rankByRendezvous, reportResponseFaults} from '@cuminsill/utils';
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

const idleTimeoutMs = 5000;
const maxListBytes = 8_388_608;

/** Polls the instance list and keeps the last one that was read. */
export class InstanceListClient {
  private lastList: readonly ListedInstance[] = [];

  constructor(
    private readonly address: SocketAddress | undefined,
    private readonly intervalS: number,
    private readonly isReader: () => boolean,
  ) {}

  /** The list that was read last; empty before the first successful read. */
  current(): readonly ListedInstance[] {
    return this.lastList;
  }

  /** Reads the list at the configured interval until interrupted. Failed reads are ignored. */
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
    return Effect.tryPromise(signal => fetchListText(address, signal)).pipe(
      Effect.map(text => {
        const list = decodeJsonOrThrow('instance list', InstanceListSchema, text);
        this.lastList = list.map(({instance, state}) => ({instance, leaving: state === 'leaving'}));
      }),
    );
  }
}

function fetchListText(address: SocketAddress, signal: AbortSignal): Promise<string> {
  return new Promise((resolve, reject) => {
    const request = http.get({...address, path: '/instances', signal, timeout: idleTimeoutMs});
    request.on('timeout', () => request.destroy(new Error('no data before the idle timeout')));
    request.on('error', reject);
    reportResponseFaults(request, fault => {
      reject(fault);
      request.destroy();
    });
    request.on('response', response => {
      const chunks: Buffer[] = [];
      let length = 0;
      response.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length > maxListBytes) request.destroy(new Error('the instance list is too large'));
        else chunks.push(chunk);
      });
      response.on('error', reject);
      response.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
    });
  });
}

const readersPerRegion = 2;

/** Whether an instance reads the list for its region. It always does while it knows no reachable instance there. */
export function isListReader(self: Instance, members: readonly Member[]): boolean {
  const candidates = members
    .filter(({instance}) => instance.regionId === self.regionId)
    .filter(({reachability}) => reachability === 'reachable')
    .map(({instance}) => instance.id);
  const ranked = rankByRendezvous(`instance-list/${self.regionId}`, candidates);
  return ranked.length === 0 || ranked.slice(0, readersPerRegion).includes(self.id);
}
