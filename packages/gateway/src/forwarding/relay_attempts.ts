/** The attempts of one request at gateways that may relay it. */
import {Effect, Exit} from 'effect';
import type {AttemptRecord} from './attempt_record';
import type {ForwardedRequest} from './forwarded_request';
import type {GatewayParts} from '../gateway_parts';
import type {GatewayRecord} from '../gateway_types';
import {exchangeWithRelay} from './relay_exchange';
import type {ExchangeEnd} from './target_exchange';

/** Number of gateways that are asked to relay a request. */
const maxRelays = 2;

/** Chooses the relays of one request and sends it to them. */
export class RelayAttempts {
  private readonly triedNames = new Set<string>();

  constructor(
    private readonly parts: GatewayParts,
    private readonly forwarded: ForwardedRequest,
    private readonly record: AttemptRecord,
  ) {}

  /** Chooses the next relay; undefined when none may take the request. */
  choose(): GatewayRecord | undefined {
    const {service, route, isRelayed} = this.forwarded;
    const {homeRegions, repeat} = route;
    const {triedNames, record} = this;
    if (isRelayed || triedNames.size >= maxRelays) return undefined;
    if (repeat === 'at-most-once' && record.mayHaveRun) return undefined;
    const relay = this.parts.relays.choose({service, homeRegions, triedNames});
    // A request that was sent before may arrive at a target once more.
    if (relay === undefined || record.sentCount === 0) return relay;
    return this.parts.retryBudget.tryTake(service) ? relay : undefined;
  }

  /** Sends the request to the relay. */
  exchange(relay: GatewayRecord, remainingMs: number): Effect.Effect<ExchangeEnd> {
    const {parts, forwarded, record} = this;
    return Effect.suspend(() => {
      const startedAtMs = parts.time.monotonicMs();
      const elapsedMs = () => parts.time.monotonicMs() - startedAtMs;
      this.triedNames.add(relay.name);
      record.recordStart(relay.name);
      return exchangeWithRelay(parts, forwarded, relay, remainingMs).pipe(
        Effect.tap(end => Effect.sync(() => record.recordEnd(relay.name, end, elapsedMs()))),
        Effect.onExit(exit => {
          if (Exit.isFailure(exit)) record.recordCancel(relay.name, elapsedMs());
          return Effect.void;
        }),
      );
    });
  }
}
