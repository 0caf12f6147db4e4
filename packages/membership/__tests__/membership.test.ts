/**
 * Jest keeps every value that is assigned to a global. Effect assigns each fiber that runs, so long simulations
 * exhaust the heap without this setting.
 *
 * @jest-environment-options {"globalsCleanup": "off"}
 */
import type {InstanceState, Member} from '@cuminsill/types';
import {SimFleet} from './support/sim_fleet';

/** Starts a fleet in which everybody knows everybody and all are serving. */
function servingFleet(instances: number, regions: number, dropRate = 0): SimFleet {
  const fleet = new SimFleet({instances, regions});
  fleet.converge();
  fleet.time.advance(10_000);
  fleet.dropRate = dropRate;
  return fleet;
}

/** Counts how often a running instance sees another running one as unreachable. */
function countFalseUnreachable(fleet: SimFleet): () => number {
  let count = 0;
  for (const node of fleet.alive()) {
    node.membership.onChange(change => {
      if (change.kind === 'member' && change.member.reachability === 'unreachable') count += 1;
    });
  }
  return () => count;
}

jest.setTimeout(60_000);

describe('Membership in a fleet', () => {
  it.each([
    {instances: 3, regions: 1, limitMs: 9_000},
    {instances: 10, regions: 3, limitMs: 12_000},
    {instances: 40, regions: 3, limitMs: 15_000},
  ])(
    'finds all instances from seed peers and a crash ($instances instances)',
    ({instances, regions, limitMs}) => {
      const fleet = servingFleet(instances, regions);
      fleet.kill('i-2');
      const unreachable: Partial<Member> = {reachability: 'unreachable'};
      const foundMs = fleet.time.advanceUntil(() => fleet.allSee('i-2', unreachable), limitMs);
      expect(foundMs).toBeDefined();
    },
  );

  // An instance in a region of its own has no ring neighbours, so only random remote peers can find its crash.
  it('finds the crash of a whole region from the other regions', () => {
    const fleet = servingFleet(12, 3);
    const lost = fleet.alive().filter(node => node.instance.regionId === 'r1');
    for (const node of lost) fleet.kill(node.instance.id);
    const found = () =>
      lost.every(node => fleet.allSee(node.instance.id, {reachability: 'unreachable'}));
    expect(fleet.time.advanceUntil(found, 30_000)).toBeDefined();
  });

  // One exchange needs two messages, so 36 of 100 heartbeats are not answered.
  it('takes no running instance for unreachable in 200 s with 20% loss', () => {
    const fleet = servingFleet(12, 3, 0.2);
    const falseUnreachable = countFalseUnreachable(fleet);
    fleet.time.advance(200_000);
    expect(falseUnreachable()).toBe(0);
    fleet.dropRate = 0;
    expect(fleet.time.advanceUntil(() => fleet.converged(), 30_000)).toBeDefined();
  });

  // A resumed process must neither be lost for the others nor take them for lost because its timers ran out.
  it.each([2_500, 20_000, 90_000])('takes back an instance paused for %i ms', pauseMs => {
    const fleet = servingFleet(9, 3);
    const paused = fleet.node('i-4');
    let declared = 0;
    paused.membership.onChange(change => {
      if (change.kind === 'member' && change.member.reachability === 'unreachable') declared += 1;
    });
    paused.clock.pause();
    fleet.time.advance(pauseMs);
    paused.clock.resume();
    const back = () => fleet.converged() && fleet.allSee('i-4', {reachability: 'reachable'});
    expect(fleet.time.advanceUntil(back, 15_000)).toBeDefined();
    expect(declared).toBe(0);
  });

  it.each<InstanceState>(['leaving', 'starting'])('spreads the state %s within seconds', state => {
    const fleet = servingFleet(40, 3);
    fleet.node('i-7').membership.setOwnState(state);
    const tookMs = fleet.time.advanceUntil(() => fleet.allSee('i-7', {state}), 5_000);
    expect(tookMs).toBeDefined();
  });

  it('carries configuration versions along', () => {
    const fleet = servingFleet(6, 2);
    for (const node of fleet.alive()) node.membership.setOwnConfigVersion(42);
    const all = () => fleet.alive().every(n => fleet.allSee(n.instance.id, {configVersion: 42}));
    expect(fleet.time.advanceUntil(all, 30_000)).toBeDefined();
  });

  it('takes back a region that was cut off for an hour', () => {
    const fleet = servingFleet(4, 2);
    fleet.isCut = (from, to) => from.regionId !== to.regionId;
    fleet.time.advance(3_590_000);
    expect(fleet.view('i-0', 'i-1')?.reachability).toBe('unreachable');
    fleet.isCut = () => false;
    expect(fleet.time.advanceUntil(() => fleet.converged(), 60_000)).toBeDefined();
  });

  it('forgets an unreachable instance after an hour only when it is not on the list', () => {
    const fleet = servingFleet(4, 1);
    const listed = fleet.node('i-2').instance;
    fleet.listed = [{instance: listed, leaving: false}];
    fleet.kill('i-2');
    fleet.kill('i-3');
    fleet.time.advance(3_640_000);
    expect(fleet.view('i-0', 'i-2')?.reachability).toBe('unreachable');
    expect(fleet.view('i-0', 'i-3')).toBeUndefined();
  });

  it('keeps up while all instances are replaced one after another', () => {
    const fleet = servingFleet(9, 3);
    for (const node of fleet.alive()) {
      fleet.kill(node.instance.id);
      fleet.time.advance(2_000);
      fleet.start(node.instance).membership.setOwnState('serving');
      fleet.time.advance(5_000);
    }
    expect(fleet.time.advanceUntil(() => fleet.converged(), 15_000)).toBeDefined();
  });

  it('finds itself again after all instances were restarted at once', () => {
    const fleet = servingFleet(9, 3);
    const instances = fleet.alive().map(node => node.instance);
    for (const instance of instances) fleet.kill(instance.id);
    for (const instance of instances) fleet.start(instance);
    expect(fleet.converge(60_000)).toBeLessThanOrEqual(30_000);
  });

  it('tells of poison suspicions at once and of the newest target report', () => {
    const fleet = servingFleet(12, 3);
    const untilMs = fleet.time.nowMs() + 600_000;
    const observedAtMs = fleet.time.nowMs();
    fleet.node('i-0').membership.addSuspicions([{fingerprint: 'f', targetIds: ['t-1'], untilMs}]);
    fleet.node('i-1').membership.addSuspicions([{fingerprint: 'f', targetIds: ['t-2'], untilMs}]);
    const both = () =>
      fleet.alive().every(node => node.membership.suspicions()[0]?.targetIds.length === 2);
    expect(fleet.time.advanceUntil(both, 1_000)).toBeDefined();
    const report = {targetId: 't-1', health: 'healthy', reportedInFlight: 1} as const;
    fleet.node('i-0').membership.addTargetReports([{...report, observedAtMs}]);
    const newer = {...report, health: 'failing' as const, observedAtMs: observedAtMs + 1};
    fleet.node('i-1').membership.addTargetReports([newer]);
    const newest = () =>
      fleet.alive().every(node => node.membership.targetReports()[0]?.health === 'failing');
    expect(fleet.time.advanceUntil(newest, 5_000)).toBeDefined();
  });
});

describe('the platform list', () => {
  it('adds candidates that seed peers do not know', () => {
    const fleet = servingFleet(3, 1);
    // Its address is not among the seeds, and it is cut off from the seeds until it is listed.
    const late = fleet.instanceAt(3);
    fleet.isCut = (from, to) => from.id === late.id && to.id !== late.id;
    fleet.start(late);
    fleet.time.advance(10_000);
    expect(fleet.view('i-0', late.id)).toBeUndefined();
    fleet.listed = [{instance: late, leaving: false}];
    fleet.isCut = () => false;
    expect(fleet.time.advanceUntil(() => fleet.converged(), 10_000)).toBeDefined();
  });

  it('makes no member of an instance that does not answer, and none leave that serves', () => {
    const fleet = servingFleet(4, 1);
    const absent = fleet.instanceAt(77);
    const serving = fleet.node('i-1').instance;
    fleet.listed = [
      {instance: absent, leaving: false},
      {instance: serving, leaving: true},
    ];
    fleet.time.advance(30_000);
    expect(fleet.view('i-0', absent.id)).toBeUndefined();
    expect(fleet.view('i-0', serving.id)).toMatchObject({state: 'serving'});
  });

  it('confirms that an instance without answer is leaving', () => {
    const fleet = servingFleet(4, 1);
    fleet.listed = [{instance: fleet.node('i-1').instance, leaving: true}];
    fleet.kill('i-1');
    fleet.time.advance(12_000);
    expect(fleet.allSee('i-1', {state: 'leaving', reachability: 'unreachable'})).toBe(true);
  });
});
