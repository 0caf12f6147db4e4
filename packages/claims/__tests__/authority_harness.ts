/** Authorities of several instances over one store, under virtual time. */
import {MemoryStore, VirtualTime} from '@cuminsill/standins';
import type {StoreFault} from '@cuminsill/standins';
import {seededRandom} from '@cuminsill/utils';
import {Effect, Scope} from 'effect';
import type {ClaimRequest, ShardedClaimAuthorityOptions} from '../src';
import {ShardedClaimAuthority} from '../src';

/** The virtual clock, the store, and who owns the shards. */
export class AuthorityHarness {
  readonly time = new VirtualTime();
  readonly store = new MemoryStore();
  owner = 'a';

  /** Starts the authority of an instance. */
  authority(
    instanceId: string,
    changes: Partial<ShardedClaimAuthorityOptions> = {},
  ): ShardedClaimAuthority {
    const scope = Effect.runSync(Scope.make());
    return this.time.run(
      ShardedClaimAuthority.make({
        instanceId,
        store: this.store,
        time: this.time,
        random: seededRandom(instanceId.charCodeAt(0)),
        ownerOf: () => this.owner,
        shardCount: 1,
        ...changes,
      }).pipe(Scope.extend(scope)),
    );
  }

  /** A claim request for a key; each token is an attempt of its own. */
  request(key: string, token = 'entry#1', requestDigest = 'digest'): ClaimRequest {
    return {key, requestDigest, attemptToken: token, sendDeadlineAtMs: this.time.nowMs() + 30_000};
  }

  /** Gives the fault to all writes of claim records until it is called again. */
  failRecordWrites(fault: StoreFault): void {
    this.store.setFaultPlan((kind, key) =>
      kind === 'write' && key.includes('/log/') ? fault : 'none',
    );
  }
}
