import {ManualTime} from '@cuminsill/utils';
import {targetRecord, testRegions} from '../__fixtures__/test_records';
import type {TargetRecord} from '../src/gateway_types';
import type {SourceObject} from '../src/store/object_source';
import {minColdIntervalMs} from '../src/targets/cold_target_limiter';
import type {Target} from '../src/targets/target';
import {expiredRecordGraceMs, TargetDirectory} from '../src/targets/target_directory';

function object(id: string, changes: Partial<TargetRecord> = {}): SourceObject<TargetRecord> {
  return {name: id, revision: 1, content: targetRecord({id, ...changes})};
}

function setUp() {
  const time = new ManualTime();
  const events: string[] = [];
  const directory = new TargetDirectory(testRegions, time, (event, id) => {
    events.push(`${event} ${id}`);
  });
  const usable = () =>
    directory
      .ofService('s')
      .filter(target => target.isAssignable)
      .map(({id}) => id);
  return {time, events, directory, usable};
}

describe('TargetDirectory', () => {
  test('applies the list and its changes', () => {
    const {directory, usable, events} = setUp();
    directory.replace({objects: [object('t-1'), object('t-2')], revision: 1});
    directory.apply({
      revision: 2,
      changes: [
        {object: object('t-1', {draining: true}), deleted: false},
        {object: object('t-3'), deleted: false},
        {object: object('t-2'), deleted: true},
      ],
    });
    expect(usable()).toEqual(['t-3']);
    expect(events).toEqual(['added t-1', 'added t-2', 'draining t-1', 'added t-3', 'removed t-2']);
  });

  /** Guards against an outage of the store that empties every service. */
  test('a target whose record expired in an outage stays for the grace period', () => {
    const {time, directory, usable} = setUp();
    directory.replace({objects: [object('t-1'), object('t-2')], revision: 1});
    directory.onStoreConnected(5_000);
    directory.replace({objects: [], revision: 9});
    expect(usable()).toEqual(['t-1', 't-2']);
    time.advance(expiredRecordGraceMs - 1);
    directory.apply({revision: 10, changes: [{object: object('t-1'), deleted: false}]});
    time.advance(1);
    expect(usable()).toEqual(['t-1']);
  });

  /** Guards against requests to a target that left while one call to the store was lost. */
  test('a target without a record is removed at once after a short interruption', () => {
    const {directory, usable} = setUp();
    directory.replace({objects: [object('t-1')], revision: 1});
    directory.onStoreConnected(300);
    directory.replace({objects: [], revision: 9});
    expect(usable()).toEqual([]);
  });

  test('an unreadable record removes its target and leaves the others', () => {
    const {directory, usable, events} = setUp();
    directory.replace({objects: [object('t-1'), object('t-2')], revision: 1});
    const unreadable = {name: 't-1', revision: 2, content: undefined};
    directory.apply({revision: 2, changes: [{object: unreadable, deleted: false}]});
    directory.apply({revision: 3, changes: [{object: unreadable, deleted: false}]});
    expect(usable()).toEqual(['t-2']);
    expect(events.filter(event => event === 'unreadable t-1')).toHaveLength(1);
  });

  /** Guards against applying the state of a former process to a new one with the same id. */
  test('a restart under the same id resets what was learned', () => {
    const {time, directory} = setUp();
    directory.replace({objects: [object('t-1')], revision: 1});
    const [target] = directory.ofService('s');
    target?.recentObjects.recordUse('7', time.monotonicMs());
    target?.health.onConnectFailure(time.monotonicMs());
    const restarted = object('t-1', {startedAtMs: 2, coldForMs: 3_000});
    directory.apply({revision: 2, changes: [{object: restarted, deleted: false}]});
    expect(target?.recentObjects.has('7', time.monotonicMs())).toBe(false);
    expect(target?.health.reachability).toBe('reachable');
    expect(target?.isCold(time.monotonicMs())).toBe(true);
  });

  interface ColdCase {
    readonly name: string;
    readonly record: Partial<TargetRecord>;
    readonly afterMs: number;
    readonly isCold: boolean;
  }

  const coldCases: readonly ColdCase[] = [
    {name: 'a record from before', record: {}, afterMs: 100, isCold: true},
    {name: 'a record from before, at the end', record: {}, afterMs: 3_000, isCold: false},
    {
      name: 'a record that says longer',
      record: {coldForMs: 5_000},
      afterMs: 4_000,
      isCold: true,
    },
    {name: 'the record of a new process', record: {startedAtMs: 2}, afterMs: 100, isCold: false},
  ];

  /**
   * Guards against a flood of a cold target: a probe, an answer or the end of an evacuation has shown that it is cold, and a
   * record that it wrote before makes it count as warm again.
   */
  test.each(coldCases)('a cold target after $name', ({record, afterMs, isCold}) => {
    const {directory, time} = setUp();
    directory.replace({objects: [object('t-1')], revision: 1});
    const [target] = directory.ofService('s');
    target?.markCold(3_000, time.monotonicMs());
    directory.replace({objects: [object('t-1', record)], revision: 2});
    time.advance(afterMs);
    expect(target?.isCold(time.monotonicMs())).toBe(isCold);
  });

  interface FirstSendCase {
    readonly name: string;
    readonly before: (target: Target | undefined, nowMs: number) => void;
    readonly maySendAtOnce: boolean;
  }

  const firstSendCases: readonly FirstSendCase[] = [
    {name: 'was in use', before: () => undefined, maySendAtOnce: false},
    {
      name: 'was unreachable',
      before: (target, nowMs) => target?.health.onConnectFailure(nowMs),
      maySendAtOnce: true,
    },
    {
      name: 'counted as cold',
      before: (target, nowMs) => target?.markCold(3_000, nowMs),
      maySendAtOnce: true,
    },
  ];

  /** Guards against a cold target that gets its usual requests and those of its senders in the same second. */
  test.each(firstSendCases)(
    'a gateway waits before it sends to a target that $name and becomes cold',
    ({before, maySendAtOnce}) => {
      const {directory, time} = setUp();
      directory.replace({objects: [object('t-1')], revision: 1});
      const [target] = directory.ofService('s');
      before(target, time.monotonicMs());
      directory.replace({objects: [object('t-1', {coldForMs: 3_000})], revision: 2});
      expect(target?.coldLimiter.isIntervalOver(time.monotonicMs())).toBe(maySendAtOnce);
      time.advance(minColdIntervalMs);
      expect(target?.coldLimiter.isIntervalOver(time.monotonicMs())).toBe(true);
    },
  );

  test('a target that moves to another service is replaced by a new one', () => {
    const {directory, usable} = setUp();
    directory.replace({objects: [object('t-1')], revision: 1});
    const [former] = directory.ofService('s');
    const moved = object('t-1', {service: 'other'});
    directory.apply({revision: 2, changes: [{object: moved, deleted: false}]});
    expect(former?.isAssignable).toBe(false);
    expect(usable()).toEqual([]);
    expect(directory.ofService('other')).toHaveLength(1);
  });
});
