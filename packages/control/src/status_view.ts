/** The state of the system for operators, put together from what the instances answer when asked. */
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
import type {PeerLinks} from './peer_links';

/** What the view works with. */
export interface StatusViewParts {
  readonly instanceId: string;
  readonly membership: Membership;
  readonly configSync: ConfigSync;
  readonly links: PeerLinks;
  readonly time: TimeSource;
  readonly storeReachable: () => boolean;
}

interface RateSample {
  readonly answeredTotal: number;
  readonly atMs: number;
}

/** Asks the instances and sums up. */
export class StatusView {
  private readonly lastSamples = new Map<string, RateSample>();

  constructor(private readonly parts: StatusViewParts) {}

  /** The state as the instances tell it now; an instance that does not answer has no figures. */
  async status(): Promise<StatusReply> {
    const {configSync, membership, instanceId, storeReachable} = this.parts;
    const configuration = configSync.current();
    const instances = await Promise.all(
      membership.members().map(member => this.askInstance(member)),
    );
    return {
      answeredBy: instanceId,
      configVersion: configuration.version,
      storeReachable: storeReachable(),
      regions: this.regionStatuses(configuration, instances),
      moves: moveStatuses(configuration, instances),
      drains: drainStatuses(configuration, instances),
      instances,
    };
  }

  /** Request rates since the last call, for plans. The first call knows no rates. */
  async liveLoads(): Promise<LiveLoads> {
    const {instances} = await this.status();
    const nowMs = this.parts.time.nowMs();
    const loads = instances.flatMap(instance =>
      instance.loads.flatMap(load => {
        const key = `${instance.instanceId}/${load.serviceId}/${load.targetRegionId}`;
        const before = this.lastSamples.get(key);
        this.lastSamples.set(key, {answeredTotal: load.answeredTotal, atMs: nowMs});
        if (before === undefined || nowMs - before.atMs < minRateIntervalMs) return [];
        const answered = Math.max(0, load.answeredTotal - before.answeredTotal);
        return [
          {
            serviceId: load.serviceId,
            regionId: load.targetRegionId,
            requestsPerS: (answered * 1000) / (nowMs - before.atMs),
            measuredAtMs: nowMs - (instance.ageMs ?? 0),
          },
        ];
      }),
    );
    return {loads, coldTargetIds: []};
  }

  /** A refusal that the named instance still remembers. */
  async findRefusal(instanceId: string, requestId: string): Promise<RefusalMessage | undefined> {
    const member = this.parts.membership.member(instanceId);
    if (member === undefined) return undefined;
    const [plainId = requestId] = requestId.split('~');
    return this.parts.links.findRefusal(member.instance, plainId);
  }

  private async askInstance(member: Member): Promise<InstanceStatus> {
    const reply =
      member.reachability === 'unreachable'
        ? undefined
        : await this.parts.links.status(member.instance);
    const {instance, state, reachability} = member;
    return {
      instanceId: instance.id,
      regionId: instance.regionId,
      failureDomainId: instance.failureDomainId,
      state,
      reachability,
      configVersion: configVersionOf(member, reply),
      ageMs: reply?.entry === undefined ? undefined : Number(reply.entryReportAgeMs),
      loads: loadsOf(reply?.entry),
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
      this.parts.membership.targetReports().map(report => [report.targetId, report.health]),
    );
    const drained = drainedSites(configuration);
    const isDraining = (target: Target) =>
      drained.has(target.siteId) || health.get(target.id) === 'leaving';
    const isUsable = (target: Target) => !isDraining(target) && health.get(target.id) !== 'failing';
    const {services, regions, targets} = configuration.catalog;
    return services.flatMap(service =>
      regions.flatMap(region => {
        const own = targets.filter(
          target => target.serviceId === service.id && target.regionId === region.id,
        );
        if (own.length === 0) return [];
        const loads = instances.flatMap(instance =>
          instance.loads.filter(
            load => load.serviceId === service.id && load.targetRegionId === region.id,
          ),
        );
        return [
          {
            serviceId: service.id,
            regionId: region.id,
            slots: own.filter(isUsable).reduce((sum, target) => sum + target.slots, 0),
            inFlight: loads.reduce((sum, load) => sum + load.inFlight, 0),
            queued: loads.reduce((sum, load) => sum + load.queued, 0),
            usableTargets: own.filter(isUsable).length,
            drainingTargets: own.filter(isDraining).length,
          },
        ];
      }),
    );
  }
}

/** Rates over less time than this are mostly noise. */
const minRateIntervalMs = 500;

function configVersionOf(member: Member, reply: GetStatusReply | undefined): number {
  const inForce = reply?.entry?.configVersion ?? reply?.configVersion;
  return inForce === undefined ? member.configVersion : Number(inForce);
}

function loadsOf(entry: EntryReport | undefined): InstanceStatus['loads'] {
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

function drainedSites(configuration: Configuration): ReadonlySet<string> {
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
    applied: meanShares(intent, instances),
    maxMovedShare: intent.maxMovedShare,
    windowS: intent.windowS,
  };
}

function meanShares(
  intent: RouteIntent,
  instances: readonly InstanceStatus[],
): readonly RegionShare[] {
  const sums = new Map<string, number>();
  let reporting = 0;
  for (const instance of instances) {
    const own = instance.shares.filter(
      share =>
        share.serviceId === intent.serviceId && share.callerRegionId === intent.callerRegionId,
    );
    if (own.length === 0) continue;
    reporting += 1;
    for (const {targetRegionId, share} of own) {
      sums.set(targetRegionId, (sums.get(targetRegionId) ?? 0) + share);
    }
  }
  return [...sums].map(([regionId, sum]) => ({regionId, share: sum / reporting}));
}

/** A drain is done when every reachable instance has told that it has nothing in flight at the site. */
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
    const allAdopted = instances
      .filter(instance => instance.reachability !== 'unreachable')
      .every(instance => instance.ageMs !== undefined && instance.configVersion >= version);
    return [
      {intentId: intent.id, siteId: intent.siteId, inFlight, done: inFlight === 0 && allAdopted},
    ];
  });
}
