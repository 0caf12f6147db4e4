/** Status of the system for operators, aggregated from the replies of all instances. */
import type {ConfigSync} from '@cuminsill/config_sync';
import type {Membership} from '@cuminsill/membership';
import type {LiveLoads} from '@cuminsill/planner';
import type {
  EntryReport,
  GetStatusReply,
  RefusalRecord as RefusalMessage,
} from '@cuminsill/protocol';
import type {
  Configuration,
  DrainStatus,
  InstanceStatus,
  Member,
  MoveStatus,
  RegionShare,
  RegionStatus,
  RouteIntent,
  StatusReply,
  Target,
} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {PeerTransport} from './peer_transport';

/** Components that the collector uses. */
export interface StatusCollectorDependencies {
  readonly instanceId: string;
  readonly membership: Membership;
  readonly configSync: ConfigSync;
  readonly peerTransport: PeerTransport;
  readonly time: TimeSource;
  readonly isStoreReachable: () => boolean;
}

/** A counter reading, from which the next reading gives a rate. */
interface RateSample {
  readonly answeredTotal: number;
  readonly atMs: number;
}

/** Queries all instances and aggregates their status. */
export class StatusCollector {
  private readonly lastSamples = new Map<string, RateSample>();

  constructor(private readonly dependencies: StatusCollectorDependencies) {}

  /** Collects the current status. An instance that does not answer is listed without loads, shares and sites. */
  async collectStatus(): Promise<StatusReply> {
    const {configSync, membership, instanceId, isStoreReachable} = this.dependencies;
    const configuration = configSync.current();
    const instances = await Promise.all(
      membership.members().map(member => this.fetchInstanceStatus(member)),
    );
    return {
      answeredBy: instanceId,
      configVersion: configuration.version,
      storeReachable: isStoreReachable(),
      regions: this.regionStatuses(configuration, instances),
      moves: moveStatuses(configuration, instances),
      drains: drainStatuses(configuration, instances),
      instances,
    };
  }

  /** Measures request rates since the previous call, for plans. The first call returns no rates. */
  async measureLiveLoads(): Promise<LiveLoads> {
    const {instances} = await this.collectStatus();
    const nowMs = this.dependencies.time.nowMs();
    const loads = instances.flatMap(instance =>
      instance.loads.flatMap(load => {
        const key = `${instance.instanceId}/${load.serviceId}/${load.targetRegionId}`;
        const previous = this.lastSamples.get(key);
        this.lastSamples.set(key, {answeredTotal: load.answeredTotal, atMs: nowMs});
        if (previous === undefined || nowMs - previous.atMs < minRateIntervalMs) return [];
        const answered = Math.max(0, load.answeredTotal - previous.answeredTotal);
        return [
          {
            serviceId: load.serviceId,
            regionId: load.targetRegionId,
            requestsPerS: (answered * 1000) / (nowMs - previous.atMs),
            measuredAtMs: nowMs - (instance.ageMs ?? 0),
          },
        ];
      }),
    );
    return {loads, coldTargetIds: []};
  }

  /** Fetches a refusal from an instance; undefined if the instance is unknown, does not answer or has evicted it. */
  async findRefusal(instanceId: string, requestId: string): Promise<RefusalMessage | undefined> {
    const member = this.dependencies.membership.member(instanceId);
    if (member === undefined) return undefined;
    // The signed token follows the id after a `~`; the instance keeps its refusals under the id alone.
    const [unsignedId = requestId] = requestId.split('~');
    return this.dependencies.peerTransport.findRefusal(member.instance, unsignedId);
  }

  private async fetchInstanceStatus(member: Member): Promise<InstanceStatus> {
    const reply =
      member.reachability === 'unreachable'
        ? undefined
        : await this.dependencies.peerTransport.getStatus(member.instance);
    const {instance, state, reachability} = member;
    return {
      instanceId: instance.id,
      regionId: instance.regionId,
      failureDomainId: instance.failureDomainId,
      state,
      reachability,
      configVersion: configVersionOf(member, reply),
      ageMs: reply?.entry === undefined ? undefined : Number(reply.entryReportAgeMs),
      loads: toLoadStatuses(reply?.entry),
      shares: (reply?.entry?.shares ?? []).map(share => ({
        serviceId: share.serviceId,
        callerRegionId: share.callerRegionId,
        targetRegionId: share.targetRegionId,
        share: share.share,
      })),
      sites: (reply?.entry?.sites ?? []).map(({siteId, inFlight}) => ({siteId, inFlight})),
    };
  }

  private regionStatuses(
    configuration: Configuration,
    instances: readonly InstanceStatus[],
  ): readonly RegionStatus[] {
    const health = new Map(
      this.dependencies.membership.targetReports().map(report => [report.targetId, report.health]),
    );
    const drainingSiteIds = drainingSitesOf(configuration);
    const isDraining = (target: Target) =>
      drainingSiteIds.has(target.siteId) || health.get(target.id) === 'leaving';
    const isUsable = (target: Target) => !isDraining(target) && health.get(target.id) !== 'failing';
    const {services, regions, targets} = configuration.catalog;
    return services.flatMap(service =>
      regions.flatMap(region => {
        const regionTargets = targets.filter(
          target => target.serviceId === service.id && target.regionId === region.id,
        );
        if (regionTargets.length === 0) return [];
        const loads = instances.flatMap(instance =>
          instance.loads.filter(
            load => load.serviceId === service.id && load.targetRegionId === region.id,
          ),
        );
        return [
          {
            serviceId: service.id,
            regionId: region.id,
            slots: regionTargets.filter(isUsable).reduce((sum, target) => sum + target.slots, 0),
            inFlight: loads.reduce((sum, load) => sum + load.inFlight, 0),
            queued: loads.reduce((sum, load) => sum + load.queued, 0),
            usableTargets: regionTargets.filter(isUsable).length,
            drainingTargets: regionTargets.filter(isDraining).length,
          },
        ];
      }),
    );
  }
}

/** Rates over a shorter interval are mostly noise. */
const minRateIntervalMs = 500;

function configVersionOf(member: Member, reply: GetStatusReply | undefined): number {
  const version = reply?.entry?.configVersion ?? reply?.configVersion;
  return version === undefined ? member.configVersion : Number(version);
}

function toLoadStatuses(entry: EntryReport | undefined): InstanceStatus['loads'] {
  return (entry?.loads ?? []).map(load => ({
    serviceId: load.serviceId,
    targetRegionId: load.targetRegionId,
    inFlight: load.inFlight,
    queued: load.queued,
    heldSlots: load.heldSlots,
    answeredTotal: Number(load.answeredTotal),
    refusedTotal: Number(load.refusedTotal),
  }));
}

function drainingSitesOf(configuration: Configuration): ReadonlySet<string> {
  return new Set(
    configuration.intents.flatMap(({intent}) => (intent.kind === 'route' ? [] : [intent.siteId])),
  );
}

function moveStatuses(
  configuration: Configuration,
  instances: readonly InstanceStatus[],
): readonly MoveStatus[] {
  return configuration.intents.flatMap(({intent}) =>
    intent.kind === 'route' ? [moveStatus(intent, instances)] : [],
  );
}

function moveStatus(intent: RouteIntent, instances: readonly InstanceStatus[]): MoveStatus {
  return {
    intentId: intent.id,
    serviceId: intent.serviceId,
    callerRegionId: intent.callerRegionId,
    target: intent.shares,
    applied: meanAppliedShares(intent, instances),
    maxMovedShare: intent.maxMovedShare,
    windowS: intent.windowS,
  };
}

function meanAppliedShares(
  intent: RouteIntent,
  instances: readonly InstanceStatus[],
): readonly RegionShare[] {
  const shareSums = new Map<string, number>();
  let reportingInstances = 0;
  for (const instance of instances) {
    const routeShares = instance.shares.filter(
      share =>
        share.serviceId === intent.serviceId && share.callerRegionId === intent.callerRegionId,
    );
    if (routeShares.length === 0) continue;
    reportingInstances += 1;
    for (const {targetRegionId, share} of routeShares) {
      shareSums.set(targetRegionId, (shareSums.get(targetRegionId) ?? 0) + share);
    }
  }
  return [...shareSums].map(([regionId, sum]) => ({regionId, share: sum / reportingInstances}));
}

/**
 * A drain is done when nothing is in flight at the site and every instance that is not unreachable has reported and has
 * adopted the drain.
 */
function drainStatuses(
  configuration: Configuration,
  instances: readonly InstanceStatus[],
): readonly DrainStatus[] {
  return configuration.intents.flatMap(({intent, version}) => {
    if (intent.kind === 'route') return [];
    const inFlight = instances
      .flatMap(instance => instance.sites)
      .filter(site => site.siteId === intent.siteId)
      .reduce((sum, site) => sum + site.inFlight, 0);
    const isAdoptedEverywhere = instances
      .filter(instance => instance.reachability !== 'unreachable')
      .every(instance => instance.ageMs !== undefined && instance.configVersion >= version);
    return [
      {
        intentId: intent.id,
        siteId: intent.siteId,
        inFlight,
        done: inFlight === 0 && isAdoptedEverywhere,
      },
    ];
  });
}
