/**
 * The steering decisions of one entry process: assigns requests to regions by share and to targets by slot, and decides
 * which requests may wait. Holds the current configuration and members and connects the modules of this package.
 */
import type {
  AppliedShare,
  Configuration,
  Member,
  ResultError,
  ServiceLoad,
  SiteLoad,
  Target,
  TargetReport,
} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {PeerHandlers} from './peer_borrowing';
import {PeerBorrowing} from './peer_borrowing';
import {PoolDirectory} from './pool_directory';
import type {PendingRequest, PoolQueue} from './pool_queue';
import {noTargetRefusal, notReadyRefusal, unknownServiceRefusal} from './refusals';
import {RequestPlacement} from './request_placement';
import type {RouteMovedShare} from './route_state';
import {RouteState} from './route_state';
import {RouteTable} from './routes';
import type {
  Assignment,
  AssignmentRequest,
  AttemptResult,
  CancelWait,
  SlotLoan,
  SteeringDecisions,
  SteeringOptions,
} from './steering_types';
import type {Slot} from './target_state';

/**
 * After this time without contact, the entry no longer changes the division of slots. An entry that is cut off sees all
 * others as unreachable and would otherwise take over their slots while they still use them.
 */
const maxContactAgeMs = 4000;

interface UsedSlot {
  readonly slot: Slot;
  readonly queue: PoolQueue;
  readonly request: AssignmentRequest;
}

/** The steering decisions of one entry process. */
export class Steering implements SteeringDecisions {
  private configuration: Configuration | undefined;
  private members: readonly Member[] = [];
  private readonly routesByService = new Map<string, Map<string, RouteState>>();
  private readonly pools: PoolDirectory;
  private readonly placement: RequestPlacement;
  private readonly borrowing: PeerBorrowing;
  private readonly usedSlots = new Map<number, UsedSlot>();
  private contactAgeMs: number | undefined;
  private contactAgeReceivedAtMs = 0;

  constructor(
    private readonly options: SteeringOptions,
    private readonly time: TimeSource,
  ) {
    this.pools = new PoolDirectory(options, time);
    this.placement = new RequestPlacement(this.pools, time);
    this.borrowing = new PeerBorrowing(time);
  }

  /** Sets the functions that reach the peers. Until then, the entry uses only its own slots. */
  connectPeers(handlers: PeerHandlers): void {
    this.borrowing.connect(handlers);
  }

  updateConfiguration(configuration: Configuration): void {
    if (this.configuration !== undefined && configuration.version <= this.configuration.version) {
      return;
    }
    this.configuration = configuration;
    const routeTable = new RouteTable(configuration);
    this.updateRoutes(configuration, routeTable);
    const {removedQueues, waitingRequests} = this.pools.updateConfiguration(
      configuration,
      routeTable,
    );
    for (const queue of removedQueues) this.borrowing.removePool(queue);
    for (const request of waitingRequests) this.refuseForRemovedPool(request);
    this.updateDivision();
  }

  updateMembers(members: readonly Member[]): void {
    this.members = members;
    this.updateDivision();
  }

  updateReports(reports: readonly TargetReport[]): void {
    for (const report of reports) {
      this.pools.poolOfTarget(report.targetId)?.pool.applyReport(report);
    }
  }

  updateContactAge(contactAgeMs: number): void {
    this.contactAgeMs = contactAgeMs;
    this.contactAgeReceivedAtMs = this.time.monotonicMs();
    this.updateDivision();
  }

  markLeaving(targetId: string): void {
    this.pools.poolOfTarget(targetId)?.pool.markLeaving(targetId);
  }

  assign(
    request: AssignmentRequest,
    onResult: (result: Assignment | ResultError) => void,
  ): CancelWait {
    const refusal = this.checkReady(request.serviceId);
    const route = this.findRoute(request.serviceId, request.callerRegionId);
    const regionId = refusal === undefined ? route?.nextRegionId() : undefined;
    if (refusal !== undefined || route === undefined || regionId === undefined) {
      onResult(refusal ?? noTargetRefusal(request.serviceId, [], request.excludedTargetIds.length));
      return () => undefined;
    }
    const pending: PendingRequest = {
      serviceId: request.serviceId,
      callerRegionId: request.callerRegionId,
      trafficClass: request.trafficClass,
      deadlineMs: request.deadlineMs,
      excludedTargetIds: request.excludedTargetIds,
      route,
      assignedRegionId: regionId,
      queue: undefined,
      onSlot: (slot, queue) => onResult(this.useSlot(slot, queue, pending)),
      onRefusal: onResult,
    };
    this.placement.place(pending);
    this.borrowIfNeeded(request.serviceId);
    return () => {
      pending.queue?.waiting.remove(pending);
      pending.queue = undefined;
    };
  }

  release(assignment: Assignment, result: AttemptResult, durationMs: number): void {
    const usedSlot = this.usedSlots.get(assignment.slotId);
    if (usedSlot === undefined) return;
    this.usedSlots.delete(assignment.slotId);
    const {pool} = usedSlot.queue;
    pool.release(usedSlot.slot, usedSlot.request.trafficClass, result, durationMs);
    usedSlot.queue.serveWaiting();
    this.placement.moveWaiting(pool.serviceId);
  }

  lendSlots(
    _borrowerId: string,
    serviceId: string,
    targetRegionId: string,
    wantedSlots: number,
  ): readonly SlotLoan[] {
    const queue = this.pools.findPool(serviceId, targetRegionId);
    if (queue === undefined || queue.waiting.size > 0) return [];
    return queue.pool.lendSlots(wantedSlots);
  }

  acceptLoans(lenderId: string, loans: readonly SlotLoan[], borrowSentAtMs: number): void {
    const changed = new Set<PoolQueue>();
    for (const loan of loans) {
      const queue = this.pools.poolOfTarget(loan.targetId);
      if (queue === undefined) continue;
      queue.pool.acceptLoans(lenderId, [loan], borrowSentAtMs);
      changed.add(queue);
    }
    for (const queue of changed) {
      this.borrowing.resetBackoff(queue);
      queue.serveWaiting();
      this.placement.moveWaiting(queue.pool.serviceId);
    }
  }

  takeBackLoans(loanIds: readonly string[]): void {
    for (const queue of this.pools.allPools()) {
      queue.pool.takeBackLoans(loanIds);
      queue.serveWaiting();
    }
  }

  targetsToProbe(): readonly Target[] {
    return this.pools.targetsToProbe();
  }

  loads(): readonly ServiceLoad[] {
    return this.pools.allPools().map(queue => queue.load());
  }

  siteLoads(): readonly SiteLoad[] {
    const inFlight = new Map<string, number>();
    for (const {slot} of this.usedSlots.values()) {
      const {siteId} = slot.target.target;
      inFlight.set(siteId, (inFlight.get(siteId) ?? 0) + 1);
    }
    return [...inFlight].map(([siteId, count]) => ({siteId, inFlight: count}));
  }

  appliedShares(): readonly AppliedShare[] {
    return [...this.routesByService.values()].flatMap(byRegion =>
      [...byRegion.values()].flatMap(route => route.appliedShares()),
    );
  }

  /** The share of every route that its ramp has moved within the window, and the caps. */
  movedShares(): readonly RouteMovedShare[] {
    return [...this.routesByService.values()].flatMap(byRegion =>
      [...byRegion.values()].map(route => route.movedShare()),
    );
  }

  tick(): void {
    const frozen = this.currentContactAgeMs() >= this.options.freezeAfterMs;
    for (const byRegion of this.routesByService.values()) {
      for (const route of byRegion.values()) route.advance(frozen);
    }
    const nowMs = this.time.monotonicMs();
    for (const queue of this.pools.allPools()) {
      queue.refuseLate(nowMs);
      queue.serveWaiting();
      this.borrowing.borrowIfNeeded(queue);
      this.borrowing.returnIdleSlots(queue);
    }
    for (const serviceId of this.routesByService.keys()) this.placement.moveWaiting(serviceId);
  }

  /** Grows also when the control process stops reporting, which therefore counts as a loss of contact. */
  private currentContactAgeMs(): number {
    if (this.contactAgeMs === undefined) return 0;
    return this.contactAgeMs + this.time.monotonicMs() - this.contactAgeReceivedAtMs;
  }

  private updateDivision(): void {
    if (this.configuration === undefined || this.members.length === 0) return;
    if (this.currentContactAgeMs() >= maxContactAgeMs) return;
    if (!this.pools.updateDivision(this.members)) return;
    for (const queue of this.pools.allPools()) queue.serveWaiting();
  }

  private updateRoutes(configuration: Configuration, routeTable: RouteTable): void {
    const serviceIds = new Set(configuration.catalog.services.map(service => service.id));
    for (const serviceId of this.routesByService.keys()) {
      if (!serviceIds.has(serviceId)) this.routesByService.delete(serviceId);
    }
    for (const serviceId of serviceIds) {
      const byRegion = this.routesByService.get(serviceId) ?? new Map<string, RouteState>();
      for (const {id} of configuration.catalog.regions) {
        const route = routeTable.route(serviceId, id);
        const known = byRegion.get(id);
        if (known === undefined) byRegion.set(id, new RouteState(route, this.time));
        else known.setRoute(route);
      }
      this.routesByService.set(serviceId, byRegion);
    }
  }

  private findRoute(serviceId: string, callerRegionId: string): RouteState | undefined {
    const byRegion = this.routesByService.get(serviceId);
    return byRegion?.get(callerRegionId) ?? byRegion?.get(this.options.regionId);
  }

  private checkReady(serviceId: string): ResultError | undefined {
    const {configuration} = this;
    if (configuration === undefined || configuration.version === 0) {
      return notReadyRefusal('configuration');
    }
    if (this.members.length === 0) return notReadyRefusal('members');
    if (this.routesByService.has(serviceId)) return undefined;
    return unknownServiceRefusal(serviceId, configuration.version);
  }

  private refuseForRemovedPool(request: PendingRequest): void {
    const {serviceId, excludedTargetIds} = request;
    const refusal = noTargetRefusal(serviceId, [], excludedTargetIds.length);
    if (request.queue !== undefined) request.queue.refuse(request, refusal);
  }

  private useSlot(slot: Slot, queue: PoolQueue, request: PendingRequest): Assignment {
    this.usedSlots.set(slot.slotId, {slot, queue, request});
    const {target} = slot.target;
    return {target, slotId: slot.slotId, overflow: target.regionId !== request.assignedRegionId};
  }

  private borrowIfNeeded(serviceId: string): void {
    for (const queue of this.pools.poolsOfService(serviceId)) {
      if (queue.pool.freeSlots === 0) this.borrowing.borrowIfNeeded(queue);
    }
  }
}
