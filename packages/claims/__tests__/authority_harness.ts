/** Claim authorities of several instances that share one store, in virtual time. */
import {MemoryStore, VirtualTime} from '@cuminsill/standins';
import type {StoreFault} from '@cuminsill/standins';
import {seededRandom} from '@cuminsill/utils';
import {Effect, Scope} from 'effect';
import type {ClaimRequest, ShardedClaimAuthorityOptions} from '../src';
import {ShardedClaimAuthority} from '../src';

/** The virtual clock, the store, and the instance that owns all shards. */
export class AuthorityHarness {
  readonly time = new VirtualTime();
  readonly store = new MemoryStore();
  ownerInstanceId = 'a';

  /** Starts the claim authority of an instance. */
  startAuthority(
    instanceId: string,
    overrides: Partial<ShardedClaimAuthorityOptions> = {},
  ): ShardedClaimAuthority {
    const scope = Effect.runSync(Scope.make());
    return this.time.run(
      ShardedClaimAuthority.make({
        instanceId,
        store: this.store,
        time: this.time,
        random: seededRandom(instanceId.charCodeAt(0)),
        ownerOf: () => this.ownerInstanceId,
        shardCount: 1,
        ...overrides,
      }).pipe(Scope.extend(scope)),
    );
  }

  /** Builds a claim request for a key. Each token is a separate attempt. */
  request(key: string, attemptToken = 'entry#1', requestDigest = 'digest'): ClaimRequest {
    return {
      key,
      requestDigest,
      attemptToken,
      sendDeadlineAtMs: this.time.nowMs() + 30_000,
    };
  }

  /** Injects the fault into all writes of log records until the next call. */
  setRecordWriteFault(fault: StoreFault): void {
    this.store.setFaultPlan((kind, key) =>
      kind === 'write' && key.includes('/log/') ? fault : 'none',
    );
  }
}
