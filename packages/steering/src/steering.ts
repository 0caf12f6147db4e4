/**
 * The decisions of one entry process: region by share, target by slot, and admission. It keeps the configuration
 * and the members in force and joins the modules that decide.
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
 * Without contact for this long, the entry keeps its slots as they are. An entry that is cut off sees all others
 * as unreachable and would otherwise take their slots while they use them.
 */
const contactLostMs = 4000;

interface UsedSlot {
  readonly slot: Slot;
  readonly queue: PoolQueue;
  readonly request: AssignmentRequest;
}

/** Decisions of one entry process. */
export class Steering implements SteeringDecisions {
  private configuration: Configuration | undefined;
  private members: readonly Member[] = [];
  private readonly routes = new Map<string, Map<string, RouteState>>();
  private readonly pools: PoolDirectory;
  private readonly placement: RequestPlacement;
  private readonly borrowing: PeerBorrowing;
  private readonly used = new Map<number, UsedSlot>();
  private contactAgeMs: number | undefined;
  private contactAgeAtMs = 0;

  constructor(
    private readonly options: SteeringOptions,
    private readonly time: TimeSource,
  ) {
    this.pools = new PoolDirectory(options, time);
    this.placement = new RequestPlacement(this.pools, time);
    this.borrowing = new PeerBorrowing(time);
  }

  /** Connects the call-backs to the peers. Without them the entry uses only its own slots. */
  connectPeers(handlers: PeerHandlers): void {
    this.borrowing.connect(handlers);
  }

  updateConfiguration(configuration: Configuration): void {
    if (this.configuration !== undefined && configuration.version <= this.configuration.version) {
      return;
    }
    this.configuration = configuration;
    const table = new RouteTable(configuration);
    this.updateRoutes(configuration, table);
    const {removed, refused} = this.pools.updateConfiguration(configuration, table);
    for (const queue of removed) this.borrowing.forget(queue);
    for (const request of refused) this.refuseRemoved(request);
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
    this.contactAgeAtMs = this.time.monotonicMs();
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
    const route = this.routeOf(request.serviceId, request.callerRegionId);
    const regionId = refusal === undefined ? route?.nextRegion() : undefined;
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
      regionId,
      queue: undefined,
      answer: (slot, queue) => onResult(this.useSlot(slot, queue, pending)),
      refuse: onResult,
    };
    this.placement.place(pending);
    this.askPeers(request.serviceId);
    return () => {
      pending.queue?.waiting.remove(pending);
      pending.queue = undefined;
    };
  }

  release(assignment: Assignment, result: AttemptResult, durationMs: number): void {
    const used = this.used.get(assignment.slotId);
    if (used === undefined) return;
    this.used.delete(assignment.slotId);
    const {pool} = used.queue;
    pool.giveBack(used.slot, used.request.trafficClass, result, durationMs);
    used.queue.serve();
    this.placement.moveWaiting(pool.serviceId);
  }

  lendSlots(
    _borrowerId: string,
    serviceId: string,
    targetRegionId: string,
    wantedSlots: number,
  ): readonly SlotLoan[] {
    const queue = this.pools.find(serviceId, targetRegionId);
    if (queue === undefined || queue.waiting.size > 0) return [];
    return queue.pool.lend(wantedSlots);
  }

  acceptLoans(lenderId: string, loans: readonly SlotLoan[], askedAtMs: number): void {
    const changed = new Set<PoolQueue>();
    for (const loan of loans) {
      const queue = this.pools.poolOfTarget(loan.targetId);
      if (queue === undefined) continue;
      queue.pool.accept(lenderId, [loan], askedAtMs);
      changed.add(queue);
    }
    for (const queue of changed) {
      this.borrowing.recordLoans(queue);
      queue.serve();
      this.placement.moveWaiting(queue.pool.serviceId);
    }
  }

  takeBackLoans(loanIds: readonly string[]): void {
    for (const queue of this.pools.all()) {
      queue.pool.takeBack(loanIds);
      queue.serve();
    }
  }

  targetsToProbe(): readonly Target[] {
    return this.pools.targetsToProbe();
  }

  loads(): readonly ServiceLoad[] {
    return this.pools.all().map(queue => queue.load());
  }

  siteLoads(): readonly SiteLoad[] {
    const inFlight = new Map<string, number>();
    for (const {slot} of this.used.values()) {
      const {siteId} = slot.target.target;
      inFlight.set(siteId, (inFlight.get(siteId) ?? 0) + 1);
    }
    return [...inFlight].map(([siteId, count]) => ({siteId, inFlight: count}));
  }

  appliedShares(): readonly AppliedShare[] {
    return [...this.routes.values()].flatMap(byRegion =>
      [...byRegion.values()].flatMap(route => route.appliedShares()),
    );
  }

  /** Moved share of every route. */
  movedShares(): readonly RouteMovedShare[] {
    return [...this.routes.values()].flatMap(byRegion =>
      [...byRegion.values()].map(route => route.movedShare()),
    );
  }

  tick(): void {
    const frozen = this.contactAge() >= this.options.freezeAfterMs;
    for (const byRegion of this.routes.values()) {
      for (const route of byRegion.values()) route.advance(frozen);
    }
    const nowMs = this.time.monotonicMs();
    for (const queue of this.pools.all()) {
      queue.refuseLate(nowMs);
      queue.serve();
      this.borrowing.askIfNeeded(queue);
      this.borrowing.returnIdle(queue);
    }
    for (const serviceId of this.routes.keys()) this.placement.moveWaiting(serviceId);
  }

  /** Contact counts as lost when the control process itself stops telling about it. */
  private contactAge(): number {
    if (this.contactAgeMs === undefined) return 0;
    return this.contactAgeMs + this.time.monotonicMs() - this.contactAgeAtMs;
  }

  private updateDivision(): void {
    if (this.configuration === undefined || this.members.length === 0) return;
    if (this.contactAge() >= contactLostMs) return;
    if (!this.pools.updateDivision(this.members)) return;
    for (const queue of this.pools.all()) queue.serve();
  }

  private updateRoutes(configuration: Configuration, table: RouteTable): void {
    const serviceIds = new Set(configuration.catalog.services.map(service => service.id));
    for (const serviceId of this.routes.keys()) {
      if (!serviceIds.has(serviceId)) this.routes.delete(serviceId);
    }
    for (const serviceId of serviceIds) {
      const byRegion = this.routes.get(serviceId) ?? new Map<string, RouteState>();
      for (const {id} of configuration.catalog.regions) {
        const route = table.route(serviceId, id);
        const known = byRegion.get(id);
        if (known === undefined) byRegion.set(id, new RouteState(route, this.time));
        else known.setRoute(route);
      }
      this.routes.set(serviceId, byRegion);
    }
  }

  private routeOf(serviceId: string, callerRegionId: string): RouteState | undefined {
    const byRegion = this.routes.get(serviceId);
    return byRegion?.get(callerRegionId) ?? byRegion?.get(this.options.regionId);
  }

  private checkReady(serviceId: string): ResultError | undefined {
    const {configuration} = this;
    if (configuration === undefined || configuration.version === 0) {
      return notReadyRefusal('configuration');
    }
    if (this.members.length === 0) return notReadyRefusal('members');
    if (this.routes.has(serviceId)) return undefined;
    return unknownServiceRefusal(serviceId, configuration.version);
  }

  private refuseRemoved(request: PendingRequest): void {
    const {serviceId, excludedTargetIds} = request;
    const refusal = noTargetRefusal(serviceId, [], excludedTargetIds.length);
    if (request.queue !== undefined) request.queue.refuse(request, refusal);
  }

  private useSlot(slot: Slot, queue: PoolQueue, request: PendingRequest): Assignment {
    this.used.set(slot.slotId, {slot, queue, request});
    const {target} = slot.target;
    return {target, slotId: slot.slotId, overflow: target.regionId !== request.regionId};
  }

  private askPeers(serviceId: string): void {
    for (const queue of this.pools.ofService(serviceId)) {
      if (queue.pool.freeSlots === 0) this.borrowing.askIfNeeded(queue);
    }
  }
}
