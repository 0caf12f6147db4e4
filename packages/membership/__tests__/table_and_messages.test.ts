import {create} from '@bufbuild/protobuf';
import {silentLogger, silentMetrics} from '@cuminsill/logger';
import {HeartbeatRequestSchema, InstanceViewSchema} from '@cuminsill/protocol';
import type {InstanceView} from '@cuminsill/protocol';
import type {Instance, Member, Reachability} from '@cuminsill/types';
import {seededRandom} from '@cuminsill/utils';
import type {Scope} from 'effect';
import {Duration, Effect, TestClock, TestContext} from 'effect';
import * as fc from 'fast-check';
import {Membership} from '../src/membership';
import {MemberTable} from '../src/member_table';
import {HeartbeatError} from '../src/options';
import {sendLimitFor, UpdateQueue} from '../src/update_queue';
import {memberFromWire, memberToWire} from '../src/wire_conversion';

const seed = 20_262;

function instance(id: string): Instance {
  const address = {host: '10.0.0.1', port: 7000};
  return {
    id,
    regionId: 'r0',
    failureDomainId: 'r0-a',
    callerAddress: address,
    entryPeerAddress: address,
    controlPeerAddress: address,
  };
}

function member(id: string, changes: Partial<Member> = {}): Member {
  const base = {state: 'serving', reachability: 'reachable', incarnation: 1, configVersion: 0};
  return {instance: instance(id), ...base, ...changes} as Member;
}

const memberArbitrary = fc.record({
  reachability: fc.constantFrom<Reachability>('reachable', 'suspect', 'unreachable'),
  incarnation: fc.integer({min: 1, max: 4}),
});

describe('MemberTable', () => {
  // Messages arrive in any order. Two instances that received the same updates must end with the same view.
  it('ends with the same view for any order of updates', () => {
    const property = fc.property(
      fc.array(memberArbitrary, {maxLength: 8}),
      fc.array(fc.nat(), {minLength: 8, maxLength: 8}),
      (updates, order) => {
        const viewAfter = (updateList: ReadonlyArray<Partial<Member>>) => {
          const table = new MemberTable(instance('self'), 1, () => undefined);
          table.merge(member('a', {incarnation: 0}), 0);
          for (const update of updateList) table.merge(member('a', update), 0);
          return table.get('a')?.member;
        };
        const shuffled = updates
          .map((update, index) => ({update, rank: order[index] ?? 0}))
          .sort((a, b) => a.rank - b.rank)
          .map(({update}) => update);
        expect(viewAfter(shuffled)).toEqual(viewAfter(updates));
      },
    );
    fc.assert(property, {seed});
  });

  it.each([
    {name: 'a suspicion', update: {incarnation: 5, reachability: 'suspect'}, expected: 6},
    {name: 'a record with a higher incarnation', update: {incarnation: 9}, expected: 10},
    {name: 'an old record', update: {incarnation: 4, reachability: 'unreachable'}, expected: 5},
  ] as const)('handles $name about itself', ({update, expected}) => {
    const table = new MemberTable(instance('self'), 5, () => undefined);
    table.merge(member('self', update), 0);
    expect(table.self().incarnation).toBe(expected);
    expect(table.self().reachability).toBe('reachable');
  });

  // Otherwise peers that forget an instance a little later would bring it back.
  it('does not add an unknown instance that is unreachable', () => {
    const table = new MemberTable(instance('self'), 1, () => undefined);
    table.merge(member('a', {reachability: 'unreachable'}), 0);
    expect(table.size()).toBe(1);
  });
});

describe('received messages', () => {
  const invalidFields: ReadonlyArray<[string, Partial<InstanceView>]> = [
    ['instance id', {instanceId: '../etc'}],
    ['region', {regionId: ''}],
    ['failure domain', {failureDomainId: 'A B'}],
    ['host', {callerHost: 'example.org'}],
    ['control peer port', {controlPeerPort: 65_536}],
    ['entry peer port', {entryPeerPort: 0}],
    ['state', {state: 'gone'}],
    ['reachability', {reachability: ''}],
    ['incarnation', {incarnation: 2n ** 63n}],
    ['configuration version', {configVersion: 2n ** 60n}],
  ];
  it.each(invalidFields)('are invalid with a wrong %s', (_field, change) => {
    const view = create(InstanceViewSchema, {...memberToWire(member('a')), ...change} as never);
    expect(memberFromWire(memberToWire(member('a')))).toEqual(member('a'));
    expect(memberFromWire(view)).toBeUndefined();
  });

  it('do not make the receiver fail, and are counted, when they are invalid', () => {
    const program = Effect.gen(function* () {
      const {membership} = yield* startMembership(() => Effect.never);
      const text = fc.oneof(fc.string(), fc.constantFrom('a', 'r0', 'serving', '10.0.0.1'));
      const view = fc.record({instanceId: text, regionId: text, state: text, callerHost: text});
      const property = fc.property(view, fc.array(view), (sender, updates) => {
        const before = membership.invalidParts();
        membership.receive(create(HeartbeatRequestSchema, {sender, updates}));
        expect(membership.invalidParts()).toBeGreaterThan(before);
        expect(membership.members()).toHaveLength(1);
      });
      fc.assert(property, {seed, numRuns: 200});
    });
    return runWithTestClock(program);
  });

  it.each([
    ['a report from the future', {targetId: 't', health: 'healthy', observedAtMs: 10n ** 15n}],
    ['a report of unknown health', {targetId: 't', health: 'fine', observedAtMs: 1n}],
  ])('are applied without %s', (_name, report) =>
    runWithTestClock(
      Effect.gen(function* () {
        const {membership} = yield* startMembership(() => Effect.never);
        const sender = memberToWire(member('a'));
        membership.receive(
          create(HeartbeatRequestSchema, {sender, targetReports: [report as never]}),
        );
        expect(membership.targetReports()).toEqual([]);
        expect(membership.invalidParts()).toBe(1);
      }),
    ),
  );
});

describe('failure detection', () => {
  it('suspects a peer after three missed heartbeats and marks it as unreachable 3 s later', () =>
    runWithTestClock(
      Effect.gen(function* () {
        const failHeartbeat = () => Effect.fail(new HeartbeatError({detail: 'refused'}));
        const {membership} = yield* startMembership(failHeartbeat);
        const reachability = () => membership.member('a')?.reachability;
        membership.receive(create(HeartbeatRequestSchema, {sender: memberToWire(member('a'))}));
        yield* TestClock.adjust(Duration.millis(1_900));
        expect(reachability()).toBe('reachable');
        yield* TestClock.adjust(Duration.millis(1_600));
        expect(reachability()).toBe('suspect');
        yield* TestClock.adjust(Duration.millis(3_500));
        expect(reachability()).toBe('unreachable');
        expect(membership.contactAgeMs()).toBe(7_000);
      }),
    ));
});

describe('UpdateQueue', () => {
  it('sends each item a bounded number of times that grows with the logarithm of the fleet size', () => {
    const queue = new UpdateQueue<string>();
    queue.enqueue('a', 'a');
    const sends = Array.from({length: 100}, () => queue.take(10, sendLimitFor(1_000)).length);
    expect(sends.filter(count => count > 0)).toHaveLength(34);
    expect(sendLimitFor(3_500) - sendLimitFor(10)).toBeLessThan(30);
  });

  it('sends each item of a burst once before it repeats any, newest first', () => {
    const queue = new UpdateQueue<string>();
    for (const id of ['a', 'b', 'c', 'd']) queue.enqueue(id, id);
    expect(queue.take(2, 5)).toEqual(['d', 'c']);
    expect(queue.take(2, 5)).toEqual(['b', 'a']);
  });
});

function startMembership(heartbeat: () => Effect.Effect<never, HeartbeatError>) {
  return Membership.start({
    self: instance('self'),
    transport: {heartbeat},
    seedPeers: [],
    listedInstances: () => [],
    random: seededRandom(seed),
    logger: silentLogger,
    metrics: silentMetrics,
  }).pipe(Effect.map(membership => ({membership})));
}

function runWithTestClock<A, E>(program: Effect.Effect<A, E, Scope.Scope>): Promise<A> {
  return Effect.runPromise(program.pipe(Effect.scoped, Effect.provide(TestContext.TestContext)));
}
