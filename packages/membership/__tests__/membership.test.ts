/**
 * Jest keeps every value that is assigned to a global. Effect assigns each fiber that runs, so long simulations
 * exhaust the heap without this setting.
 *
 * @jest-environment-options {"globalsCleanup": "off"}
 */
import type {InstanceState, Member} from '@cuminsill/types';
import {SimFleet} from './support/sim_fleet';

/** Starts a fleet and waits until all instances are serving and know each other. */
function servingFleet(instances: number, regions: number, dropRate = 0): SimFleet {
  const fleet = new SimFleet({instances, regions});
  fleet.converge();
  fleet.time.advance(10_000);
  fleet.dropRate = dropRate;
  return fleet;
}

/** Returns a function that tells how often an instance has marked a running one as unreachable. */
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
    'discovers all instances from seed peers and detects a crash ($instances instances)',
    ({instances, regions, limitMs}) => {
      const fleet = servingFleet(instances, regions);
      fleet.kill('i-2');
      const unreachable: Partial<Member> = {reachability: 'unreachable'};
      const detectedAfterMs = fleet.time.advanceUntil(
        () => fleet.allSee('i-2', unreachable),
        limitMs,
      );
      expect(detectedAfterMs).toBeDefined();
    },
  );

  // When a whole region crashes, none of its ring monitors is left, so only random remote peers can detect it.
  it('detects the crash of a whole region from the other regions', () => {
    const fleet = servingFleet(12, 3);
    const crashed = fleet.alive().filter(node => node.instance.regionId === 'r1');
    for (const node of crashed) fleet.kill(node.instance.id);
    const isDetected = () =>
      crashed.every(node => fleet.allSee(node.instance.id, {reachability: 'unreachable'}));
    expect(fleet.time.advanceUntil(isDetected, 30_000)).toBeDefined();
  });

  // A heartbeat and its reply are two messages, so 20% loss leaves 36% of the heartbeats unanswered.
  it('marks no running instance as unreachable in 200 s with 20% message loss', () => {
    const fleet = servingFleet(12, 3, 0.2);
    const falseUnreachableCount = countFalseUnreachable(fleet);
    fleet.time.advance(200_000);
    expect(falseUnreachableCount()).toBe(0);
    fleet.dropRate = 0;
    expect(fleet.time.advanceUntil(() => fleet.converged(), 30_000)).toBeDefined();
  });

  // Peers must see a resumed process as reachable again. It must not mark them as unreachable because its own timers
  // expired during the pause.
  it.each([2_500, 20_000, 90_000])('sees an instance again after a pause of %i ms', pauseMs => {
    const fleet = servingFleet(9, 3);
    const pausedNode = fleet.node('i-4');
    let failures = 0;
    pausedNode.membership.onChange(change => {
      if (change.kind === 'member' && change.member.reachability === 'unreachable') failures += 1;
    });
    pausedNode.clock.pause();
    fleet.time.advance(pauseMs);
    pausedNode.clock.resume();
    const isBack = () => fleet.converged() && fleet.allSee('i-4', {reachability: 'reachable'});
    expect(fleet.time.advanceUntil(isBack, 15_000)).toBeDefined();
    expect(failures).toBe(0);
  });

  it.each<InstanceState>(['leaving', 'starting'])('propagates the state %s within 5 s', state => {
    const fleet = servingFleet(40, 3);
    fleet.node('i-7').membership.setOwnState(state);
    const elapsedMs = fleet.time.advanceUntil(() => fleet.allSee('i-7', {state}), 5_000);
    expect(elapsedMs).toBeDefined();
  });

  it('propagates configuration versions', () => {
    const fleet = servingFleet(6, 2);
    for (const node of fleet.alive()) node.membership.setOwnConfigVersion(42);
    const allSeeVersions = () =>
      fleet.alive().every(n => fleet.allSee(n.instance.id, {configVersion: 42}));
    expect(fleet.time.advanceUntil(allSeeVersions, 30_000)).toBeDefined();
  });

  it('reconnects to a region that was cut off for an hour', () => {
    const fleet = servingFleet(4, 2);
    fleet.isCut = (from, to) => from.regionId !== to.regionId;
    fleet.time.advance(3_590_000);
    expect(fleet.viewOf('i-0', 'i-1')?.reachability).toBe('unreachable');
    fleet.isCut = () => false;
    expect(fleet.time.advanceUntil(() => fleet.converged(), 60_000)).toBeDefined();
  });

  it('forgets an unreachable instance after an hour unless the platform lists it', () => {
    const fleet = servingFleet(4, 1);
    const listed = fleet.node('i-2').instance;
    fleet.listedInstances = [{instance: listed, leaving: false}];
    fleet.kill('i-2');
    fleet.kill('i-3');
    fleet.time.advance(3_640_000);
    expect(fleet.viewOf('i-0', 'i-2')?.reachability).toBe('unreachable');
    expect(fleet.viewOf('i-0', 'i-3')).toBeUndefined();
  });

  it('converges after a rolling replacement of all instances', () => {
    const fleet = servingFleet(9, 3);
    for (const node of fleet.alive()) {
      fleet.kill(node.instance.id);
      fleet.time.advance(2_000);
      fleet.start(node.instance).membership.setOwnState('serving');
      fleet.time.advance(5_000);
    }
    expect(fleet.time.advanceUntil(() => fleet.converged(), 15_000)).toBeDefined();
  });

  it('converges after all instances were restarted at once', () => {
    const fleet = servingFleet(9, 3);
    const instances = fleet.alive().map(node => node.instance);
    for (const instance of instances) fleet.kill(instance.id);
    for (const instance of instances) fleet.start(instance);
    expect(fleet.converge(60_000)).toBeLessThanOrEqual(30_000);
  });

  it('propagates poison suspicions immediately and the newest target report within 5 s', () => {
    const fleet = servingFleet(12, 3);
    const untilMs = fleet.time.nowMs() + 600_000;
    const observedAtMs = fleet.time.nowMs();
    fleet
      .node('i-0')
      .membership.addSuspicions([
        {fingerprint: 'f', targetIds: ['t-1'], repeatTargetIds: ['t-1'], untilMs},
      ]);
    fleet
      .node('i-1')
      .membership.addSuspicions([
        {fingerprint: 'f', targetIds: ['t-2'], repeatTargetIds: ['t-2'], untilMs},
      ]);
    const allSeeBothTargets = () =>
      fleet.alive().every(node => node.membership.suspicions()[0]?.targetIds.length === 2);
    expect(fleet.time.advanceUntil(allSeeBothTargets, 1_000)).toBeDefined();
    const report = {targetId: 't-1', health: 'healthy', reportedInFlight: 1} as const;
    fleet.node('i-0').membership.addTargetReports([{...report, observedAtMs}]);
    const newer = {...report, health: 'failing' as const, observedAtMs: observedAtMs + 1};
    fleet.node('i-1').membership.addTargetReports([newer]);
    const allSeeNewest = () =>
      fleet.alive().every(node => node.membership.targetReports()[0]?.health === 'failing');
    expect(fleet.time.advanceUntil(allSeeNewest, 5_000)).toBeDefined();
  });
});

describe('the instance list of the platform', () => {
  it('adds candidates that seed peers do not know', () => {
    const fleet = servingFleet(3, 1);
    // The seed peers do not include the late instance, and it cannot reach them until it is listed.
    const lateInstance = fleet.instanceAt(3);
    fleet.isCut = (from, to) => from.id === lateInstance.id && to.id !== lateInstance.id;
    fleet.start(lateInstance);
    fleet.time.advance(10_000);
    expect(fleet.viewOf('i-0', lateInstance.id)).toBeUndefined();
    fleet.listedInstances = [{instance: lateInstance, leaving: false}];
    fleet.isCut = () => false;
    expect(fleet.time.advanceUntil(() => fleet.converged(), 10_000)).toBeDefined();
  });

  it('neither adds an instance that does not answer nor marks a reachable one as leaving', () => {
    const fleet = servingFleet(4, 1);
    const absent = fleet.instanceAt(77);
    const serving = fleet.node('i-1').instance;
    fleet.listedInstances = [
      {instance: absent, leaving: false},
      {instance: serving, leaving: true},
    ];
    fleet.time.advance(30_000);
    expect(fleet.viewOf('i-0', absent.id)).toBeUndefined();
    expect(fleet.viewOf('i-0', serving.id)).toMatchObject({state: 'serving'});
  });

  it('confirms that an instance that does not answer is leaving', () => {
    const fleet = servingFleet(4, 1);
    fleet.listedInstances = [{instance: fleet.node('i-1').instance, leaving: true}];
    fleet.kill('i-1');
    fleet.time.advance(12_000);
    expect(fleet.allSee('i-1', {state: 'leaving', reachability: 'unreachable'})).toBe(true);
  });
});
