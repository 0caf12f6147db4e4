/** Chooses targets for one forwarded request, with what the gateway knows at the time. */
import type {GatewayParts} from '../gateway_parts';
import type {Placement} from '../targets/placement';
import {placeRequest} from '../targets/placement';
import type {Target} from '../targets/target';
import type {AttemptRecord} from './attempt_record';
import type {ForwardedRequest} from './forwarded_request';
import type {SecondTryTimes} from './second_try';

/** The parts of a gateway that the choice of a target depends on. */
export type PlacementParts = Pick<
  GatewayParts,
  | 'configuration'
  | 'evacuations'
  | 'peers'
  | 'regionalShares'
  | 'roundTripTimes'
  | 'senderFleet'
  | 'serviceTimes'
  | 'settings'
  | 'targets'
  | 'time'
>;

/** Places the attempts of one request. */
export class RequestPlacement {
  constructor(
    private readonly parts: PlacementParts,
    private readonly forwarded: ForwardedRequest,
    private readonly record: AttemptRecord,
  ) {}

  /**
   * Chooses a target.
   * @param isOpen Returns whether a target of an earlier attempt may be chosen again; by default none may.
   */
  choose(isOpen: (target: Target) => boolean = () => false): Placement | undefined {
    const {parts, forwarded} = this;
    const {peers, evacuations, serviceTimes, roundTripTimes} = parts;
    const settings = parts.settings.value;
    const rule = parts.configuration.routes?.configuration.services.get(forwarded.service);
    const coldRequestsPerS = (rule?.coldRequestsPerS ?? 1) * settings.bounds.coldOvershoot;
    return placeRequest(
      {
        objectKey: forwarded.request.head.objectKey,
        homeRegions: forwarded.route.homeRegions,
        bodyBytes: forwarded.request.body.length,
        attemptedTargetIds: this.closedTargetIds(isOpen),
        latencyObjectiveMs: forwarded.route.targetLatencyMs,
      },
      parts.targets.ofService(forwarded.service),
      {
        nowMs: parts.time.monotonicMs(),
        ownName: settings.name,
        ownRegion: settings.region,
        ownCallerFraction: peers.ownRegionFraction(),
        gatewayNames: peers.presumedActiveGatewayNames(),
        senderNames: parts.senderFleet.names(),
        evacuatedDomains: evacuations.evacuatedDomains,
        coldLimit: {requestsPerS: coldRequestsPerS + settings.bounds.coldSlack},
        serviceTime: serviceTimes.of(forwarded.service),
        roundTripTimes,
        regionalShare: parts.regionalShares.of(forwarded.service),
      },
    );
  }

  /** Expected times of a second try at the target. */
  secondTryTimes({failureDomain}: Target): SecondTryTimes {
    const {serviceTimes, roundTripTimes, time} = this.parts;
    const {request, route, service} = this.forwarded;
    return {
      heldMs: serviceTimes.of(service).expectedMs(true),
      roundTripMs: roundTripTimes.expectedMs(failureDomain),
      latencyBudgetMs: route.targetLatencyMs - (time.monotonicMs() - request.arrivedAtMs),
    };
  }

  /** Ids of the targets of earlier attempts, without those that are open to another one. */
  private closedTargetIds(isOpen: (target: Target) => boolean): ReadonlySet<string> {
    const {attemptedTargetIds} = this.record;
    if (attemptedTargetIds.size === 0) return attemptedTargetIds;
    const targets = this.parts.targets.ofService(this.forwarded.service);
    const open = targets.filter(target => attemptedTargetIds.has(target.id) && isOpen(target));
    const openIds = new Set(open.map(({id}) => id));
    return new Set([...attemptedTargetIds].filter(id => !openIds.has(id)));
  }
}
