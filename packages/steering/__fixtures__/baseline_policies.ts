/**
 * Baseline policies that the benchmark compares the steering decisions with. They have neither slots nor a ramp nor a
 * queue, and choose a target within the region that the shares assign a request to.
 */
import type {Configuration, Target, TargetReport} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {randomBelow, seededRandom} from '@cuminsill/utils';
import type {Assignment, SteeringDecisions} from '../src';
import {RegionAssignment, RouteTable} from '../src';

/** The steering decisions that the benchmark calls. */
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

/** Names of the baseline policies. */
export type BaselineName = 'random' | 'round-robin' | 'least-in-flight';

type ChooseTarget = (targets: readonly Target[]) => Target | undefined;

/** A baseline policy that chooses targets by one simple rule. */
export class BaselinePolicy implements BenchPolicy {
  private readonly random: RandomSource;
  private readonly inFlight = new Map<string, number>();
  private readonly regionAssignments = new Map<string, RegionAssignment>();
  private readonly unavailableTargetIds = new Set<string>();
  private readonly choose: ChooseTarget;
  private configuration: Configuration | undefined;
  private routeTable: RouteTable | undefined;
  private roundRobinCounter = 0;
  private lastSlotId = 0;

  constructor(name: BaselineName, seed: number) {
    this.random = seededRandom(seed);
    const chooseByName: Readonly<Record<BaselineName, ChooseTarget>> = {
      random: targets => targets[randomBelow(this.random, targets.length)],
      'round-robin': targets => targets[(this.roundRobinCounter += 1) % targets.length],
      'least-in-flight': targets => this.chooseLeastInFlight(targets),
    };
    this.choose = chooseByName[name];
  }

  updateConfiguration(configuration: Configuration): void {
    this.configuration = configuration;
    this.routeTable = new RouteTable(configuration);
  }

  updateMembers(): void {}

  updateContactAge(): void {}

  updateReports(reports: readonly TargetReport[]): void {
    for (const report of reports) {
      if (report.health === 'healthy') this.unavailableTargetIds.delete(report.targetId);
      else this.unavailableTargetIds.add(report.targetId);
    }
  }

  markLeaving(targetId: string): void {
    this.unavailableTargetIds.add(targetId);
  }

  assign(...[request, onResult]: Parameters<SteeringDecisions['assign']>): () => void {
    const shares = this.routeTable?.route(request.serviceId, request.callerRegionId).shares ?? [];
    const key = JSON.stringify([request.serviceId, request.callerRegionId]);
    const assignment = this.regionAssignments.get(key) ?? new RegionAssignment();
    this.regionAssignments.set(key, assignment);
    const regionId = assignment.nextRegionId(shares);
    const usableTargets = (this.configuration?.catalog.targets ?? []).filter(
      target =>
        target.serviceId === request.serviceId &&
        !this.unavailableTargetIds.has(target.id) &&
        !request.excludedTargetIds.includes(target.id),
    );
    const localTargets = usableTargets.filter(target => target.regionId === regionId);
    const target = this.choose(localTargets.length > 0 ? localTargets : usableTargets);
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
        (this.routeTable?.route(service.id, region.id).shares ?? []).map(({regionId, share}) => ({
          serviceId: service.id,
          callerRegionId: region.id,
          targetRegionId: regionId,
          share,
        })),
      ),
    );
  }

  private chooseLeastInFlight(targets: readonly Target[]): Target | undefined {
    let leastLoaded: Target | undefined;
    let minInFlight = Infinity;
    const startIndex = randomBelow(this.random, Math.max(1, targets.length));
    targets.forEach((_, offset) => {
      const target = targets[(startIndex + offset) % targets.length];
      const inFlight = target === undefined ? Infinity : (this.inFlight.get(target.id) ?? 0);
      if (inFlight >= minInFlight) return;
      leastLoaded = target;
      minInFlight = inFlight;
    });
    return leastLoaded;
  }
}
