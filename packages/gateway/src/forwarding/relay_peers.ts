/**
 * Chooses the gateways that relay requests while this one does not reach the targets itself.
 *
 * The pattern: a part of a region's gateways, or all of a failure domain's, lose connectivity to the targets at once, and their
 * callers' requests go to the gateways that are left. They are spread over the region, because callers there are few hops away,
 * and each relay has a bound on what it takes from one gateway.
 */
import type {TimeSource} from '@cuminsill/utils';
import type {GatewayRecord} from '../gateway_types';
import type {Random} from '../peers/shuffle';
import {sample} from '../peers/shuffle';

/** Requests of one gateway that another one relays at the same time. */
const maxInFlightPerRelay = 64;
/** Time for which a relay that reached no target of a service is not asked for that service again. */
const avoidedForMs = 500;

/** What limits the choice. */
export interface RelayChoice {
  readonly service: string;
  /** Regions in which the request may be run; empty when any region may. */
  readonly homeRegions: readonly string[];
  /** Names of the gateways that were tried for the request. */
  readonly triedNames: ReadonlySet<string>;
}

/** The relays of one gateway. */
export class RelayPeers {
  private readonly inFlight = new Map<string, number>();
  private readonly avoidedUntilMs = new Map<string, number>();

  /** @param peers Returns the other gateways that serve callers and reach targets, as far as this one knows. */
  constructor(
    private readonly ownRegion: string,
    private readonly peers: () => readonly GatewayRecord[],
    private readonly time: TimeSource,
    private readonly random: Random = Math.random,
  ) {}

  /** Chooses a relay; undefined when none can take the request. */
  choose({service, homeRegions, triedNames}: RelayChoice): GatewayRecord | undefined {
    const nowMs = this.time.monotonicMs();
    const usable = this.peers().filter(
      ({name, region}) =>
        !triedNames.has(name) &&
        (homeRegions.length === 0 || homeRegions.includes(region)) &&
        (this.inFlight.get(name) ?? 0) < maxInFlightPerRelay &&
        (this.avoidedUntilMs.get(keyOf(name, service)) ?? 0) <= nowMs,
    );
    const near = usable.filter(({region}) => region === this.ownRegion);
    return sample(near.length > 0 ? near : usable, 1, this.random)[0];
  }

  recordStart(name: string): void {
    this.inFlight.set(name, (this.inFlight.get(name) ?? 0) + 1);
  }

  recordEnd(name: string): void {
    const count = (this.inFlight.get(name) ?? 1) - 1;
    if (count > 0) this.inFlight.set(name, count);
    else this.inFlight.delete(name);
  }

  /** Records that a relay could not be reached, or reached no target of the service. */
  recordFailure(name: string, service: string): void {
    const nowMs = this.time.monotonicMs();
    for (const [key, untilMs] of this.avoidedUntilMs) {
      if (untilMs <= nowMs) this.avoidedUntilMs.delete(key);
    }
    this.avoidedUntilMs.set(keyOf(name, service), nowMs + avoidedForMs);
  }
}

function keyOf(name: string, service: string): string {
  return `${name} ${service}`;
}
