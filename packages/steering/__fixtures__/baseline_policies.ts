/** Plain policies to compare with: no slots, no ramp, no queue. They choose within the region of the route. */
import type {Configuration, Target, TargetReport} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {randomBelow, seededRandom} from '@cuminsill/utils';
import type {Assignment, SteeringDecisions} from '../src';
import {RegionAssignment, RouteTable} from '../src';

/** What the bench drives. */
export type BenchPolicy = Pick<
  SteeringDecisions,
  | 'updateConfiguration'
  | 'updateMembers'
  | 'updateReports'
  | 'updateContactAge'
  | 'markLeaving'
  | 'assign'
  | 'release'
  | 'tick'
  | 'appliedShares'
>;

/** Names of the baselines. */
export type BaselineName = 'random' | 'round-robin' | 'least-in-flight';

type Choose = (targets: readonly Target[]) => Target | undefined;

/** A policy without slots. */
export class BaselinePolicy implements BenchPolicy {
  private readonly random: RandomSource;
  private readonly inFlight = new Map<string, number>();
  private readonly assignments = new Map<string, RegionAssignment>();
  private readonly failing = new Set<string>();
  private readonly choose: Choose;
  private configuration: Configuration | undefined;
  private table: RouteTable | undefined;
  private counter = 0;
  private lastSlotId = 0;

  constructor(name: BaselineName, seed: number) {
    this.random = seededRandom(seed);
    const handlers: Readonly<Record<BaselineName, Choose>> = {
      random: targets => targets[randomBelow(this.random, targets.length)],
      'round-robin': targets => targets[(this.counter += 1) % targets.length],
      'least-in-flight': targets => this.leastInFlight(targets),
    };
    this.choose = handlers[name];
  }

  updateConfiguration(configuration: Configuration): void {
    this.configuration = configuration;
    this.table = new RouteTable(configuration);
  }

  updateMembers(): void {}

  updateContactAge(): void {}

  updateReports(reports: readonly TargetReport[]): void {
    for (const report of reports) {
      if (report.health === 'healthy') this.failing.delete(report.targetId);
      else this.failing.add(report.targetId);
    }
  }

  markLeaving(targetId: string): void {
    this.failing.add(targetId);
  }

  assign(...[request, onResult]: Parameters<SteeringDecisions['assign']>): () => void {
    const shares = this.table?.route(request.serviceId, request.callerRegionId).shares ?? [];
    const key = JSON.stringify([request.serviceId, request.callerRegionId]);
    const assignment = this.assignments.get(key) ?? new RegionAssignment();
    this.assignments.set(key, assignment);
    const regionId = assignment.next(shares);
    const known = (this.configuration?.catalog.targets ?? []).filter(
      target =>
        target.serviceId === request.serviceId &&
        !this.failing.has(target.id) &&
        !request.excludedTargetIds.includes(target.id),
    );
    const local = known.filter(target => target.regionId === regionId);
    const target = this.choose(local.length > 0 ? local : known);
    if (target === undefined) {
      onResult(new ResultError(resultCodes.noTarget));
      return () => undefined;
    }
    this.lastSlotId += 1;
    this.inFlight.set(target.id, (this.inFlight.get(target.id) ?? 0) + 1);
    onResult({target, slotId: this.lastSlotId, overflow: target.regionId !== regionId});
    return () => undefined;
  }

  release(assignment: Assignment): void {
    const {id} = assignment.target;
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) - 1);
  }

  tick(): void {}

  appliedShares(): ReturnType<SteeringDecisions['appliedShares']> {
    const {catalog} = this.configuration ?? {};
    return (catalog?.services ?? []).flatMap(service =>
      (catalog?.regions ?? []).flatMap(region =>
        (this.table?.route(service.id, region.id).shares ?? []).map(({regionId, share}) => ({
          serviceId: service.id,
          callerRegionId: region.id,
          targetRegionId: regionId,
          share,
        })),
      ),
    );
  }

  private leastInFlight(targets: readonly Target[]): Target | undefined {
    let best: Target | undefined;
    let fewest = Infinity;
    const start = randomBelow(this.random, Math.max(1, targets.length));
    targets.forEach((_, offset) => {
      const target = targets[(start + offset) % targets.length];
      const count = target === undefined ? Infinity : (this.inFlight.get(target.id) ?? 0);
      if (count >= fewest) return;
      best = target;
      fewest = count;
    });
    return best;
  }
}
