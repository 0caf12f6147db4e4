import type {StateChange} from '@cuminsill/logger';
import type {StoreFault} from '@cuminsill/standins';
import {Effect} from 'effect';
import type {ClaimOutcome} from '../src';
import {claimIdOf, maxStoredBodyBytes, claimRetentionMs} from '../src';
import {AuthorityHarness} from './authority_harness';

const runOutcome = (bytes: number): ClaimOutcome => ({
  outcome: 'run',
  answer: {status: 201, contentType: 'text/plain', body: new Uint8Array(bytes).fill(7)},
});

describe('claim shards', () => {
  let harness: AuthorityHarness;

  beforeEach(() => {
    harness = new AuthorityHarness();
  });

  // Guards against a granted retry although an earlier attempt may have run.
  it.each([
    [{outcome: 'not-run'} as const, 'granted', 'not-run'],
    [{outcome: 'unknown'} as const, 'unknown', 'unknown'],
    [runOutcome(10), 'run', 'run'],
  ])('after the outcome %j a retry is answered "%s"', (outcome, retryState, outcomeState) => {
    const owner = harness.startAuthority('a');
    const first = harness.request('k');
    expect(harness.time.run(owner.claim(first)).state).toBe('granted');
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#2'))).state).toBe(
      'in-progress',
    );
    expect(harness.time.run(owner.complete('k', claimIdOf(first), outcome))).toBe('recorded');
    expect(harness.time.run(owner.outcomeOf('k')).state).toBe(outcomeState);
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#3'))).state).toBe(retryState);
  });

  // Guards against response bodies over 1 KiB that would make checkpoints too large.
  it.each([
    [maxStoredBodyBytes, maxStoredBodyBytes],
    [maxStoredBodyBytes + 1, undefined],
  ])('given a response body of %i bytes, the stored length is %s', (bodyBytes, storedBytes) => {
    const owner = harness.startAuthority('a');
    const first = harness.request('k');
    harness.time.run(owner.claim(first));
    harness.time.run(owner.complete('k', claimIdOf(first), runOutcome(bodyBytes)));
    const answer = harness.time.run(owner.claim(harness.request('k', 'entry#2')));
    expect(answer.state === 'run' && answer.answer.body?.byteLength).toBe(storedBytes);
  });

  // Guards against two attempts that have the same claim id because neither has a token.
  it('grants nothing to a request without an attempt token', () => {
    const owner = harness.startAuthority('a');
    expect(harness.time.run(owner.claim(harness.request('k', ''))).state).toBe('unavailable');
  });

  it('refuses a claim on the key of a different request', () => {
    const owner = harness.startAuthority('a');
    harness.time.run(owner.claim(harness.request('k')));
    const reused = owner.claim(harness.request('k', 'entry#2', 'other'));
    expect(harness.time.run(reused).state).toBe('key-reused');
  });

  // Guards against a grant without a durable record, and against a key that stays blocked after an outage.
  it.each([
    ['answer-lost-after-write', 'granted', 'in-progress'],
    ['answer-lost-before-write', 'unavailable', 'granted'],
    ['unavailable', 'unavailable', 'granted'],
  ] as const)(
    'with the fault %s answers "%s", and "%s" after the fault',
    (fault, during, after) => {
      const owner = harness.startAuthority('a');
      harness.time.run(owner.claim(harness.request('other')));
      harness.setRecordWriteFault(fault);
      expect(harness.time.run(owner.claim(harness.request('k'))).state).toBe(during);
      harness.setRecordWriteFault('none');
      harness.time.advance(10_000);
      expect(harness.time.run(owner.claim(harness.request('k', 'entry#2'))).state).toBe(after);
    },
  );

  // Guards against an owner that was paused and then grants claims or answers "not run" although its shard has moved.
  it('an owner whose log position is taken grants nothing and does not answer "not run"', () => {
    const former = harness.startAuthority('a', {ownerOf: () => 'a'});
    const next = harness.startAuthority('b', {ownerOf: () => 'b'});
    harness.time.run(former.claim(harness.request('before')));
    expect(harness.time.run(next.claim(harness.request('k'))).state).toBe('granted');
    expect(harness.time.run(former.outcomeOf('k')).state).toBe('not-owner');
    harness.time.advance(5_000);
    expect(harness.time.run(former.claim(harness.request('k', 'entry#2'))).state).toBe('unknown');
    expect(former.counts()[0]).toMatchObject({takeovers: 2, stepDowns: 1});
  });

  // Guards against a claim of a former owner that is granted again, or that stays unknown after its outcome is reported.
  it.each([
    [{outcome: 'not-run'} as const, 'granted'],
    [{outcome: 'unknown'} as const, 'unknown'],
    [runOutcome(1), 'run'],
  ])('a new owner treats an open claim as unknown until %j is reported', (outcome, state) => {
    const first = harness.request('k');
    harness.time.run(harness.startAuthority('a').claim(first));
    harness.ownerInstanceId = 'b';
    const next = harness.startAuthority('b');
    expect(harness.time.run(next.claim(harness.request('k', 'entry#2'))).state).toBe('unknown');
    expect(harness.time.run(next.complete('k', claimIdOf(first), outcome))).toBe('recorded');
    expect(harness.time.run(next.claim(harness.request('k', 'entry#3'))).state).toBe(state);
  });

  // Guards against a delayed claim request that blocks the key after its attempt has withdrawn the claim.
  it('does not grant a claim that was withdrawn before it arrived', () => {
    const owner = harness.startAuthority('a');
    const late = harness.request('k');
    harness.time.run(owner.complete('k', claimIdOf(late), {outcome: 'not-run'}));
    expect(harness.time.run(owner.claim(late)).state).toBe('unavailable');
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#2'))).state).toBe('granted');
  });

  // Guards against a duplicate of a claim request that claims the key after its attempt was answered and has ended.
  it('does not grant a duplicate of a claim that was answered "in-progress"', () => {
    const owner = harness.startAuthority('a');
    const first = harness.request('k');
    const second = harness.request('k', 'entry#2');
    harness.time.run(owner.claim(first));
    expect(harness.time.run(owner.claim(second)).state).toBe('in-progress');
    harness.time.run(owner.complete('k', claimIdOf(first), {outcome: 'not-run'}));
    expect(harness.time.run(owner.claim(second)).state).toBe('unavailable');
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#3'))).state).toBe('granted');
  });

  // Guards against one store write per request, and against a delay when the shard is idle.
  it('writes all waiting claims in one append, with at most 10 appends per second', () => {
    const owner = harness.startAuthority('a');
    harness.time.run(owner.claim(harness.request('warm-up')));
    harness.time.advance(1_000);
    const before = harness.store.callCounts().writes;
    for (let index = 0; index < 1_000; index += 1) {
      harness.time.fork(owner.claim(harness.request(`k${index}`, `entry#${index}`)));
      harness.time.advance(1);
    }
    expect(harness.store.callCounts().writes - before).toBeLessThanOrEqual(11);
    const startedAtMs = harness.time.nowMs() + 1_000;
    harness.time.advance(1_000);
    harness.time.run(owner.claim(harness.request('after a pause', 'entry#x')));
    expect(harness.time.nowMs()).toBe(startedAtMs);
  });

  // Guards against claims that are lost when records are trimmed, and against a log that grows without limit.
  it('restores claims from a checkpoint after trimming, and removes them after the retention', () => {
    const owner = harness.startAuthority('a');
    const first = harness.request('k');
    harness.time.run(owner.claim(first));
    harness.time.run(owner.complete('k', claimIdOf(first), runOutcome(1)));
    harness.time.advance(3 * 3_600_000);
    expect(harness.store.keys()).toEqual(['claims/0/checkpoint', 'claims/shards']);
    harness.ownerInstanceId = 'b';
    const next = harness.startAuthority('b');
    expect(harness.time.run(next.claim(harness.request('k', 'entry#2'))).state).toBe('run');
    harness.time.advance(claimRetentionMs);
    expect(harness.time.run(next.claim(harness.request('k', 'entry#3'))).state).toBe('granted');
  });

  // Guards against claims that are lost, granted again or never removed after they move to a segment, even if a write of
  // the segment or of the checkpoint that references it fails.
  it.each<[string, StoreFault, 'segments' | 'segment_index' | 'checkpoint' | 'none']>([
    ['without faults', 'none', 'none'],
    ['index refused', 'unavailable', 'segment_index'],
    ['data refused', 'unavailable', 'segments'],
    ['data written, answer lost', 'answer-lost-after-write', 'segments'],
    ['checkpoint refused', 'unavailable', 'checkpoint'],
    ['checkpoint not written, answer lost', 'answer-lost-before-write', 'checkpoint'],
    ['checkpoint written, answer lost', 'answer-lost-after-write', 'checkpoint'],
  ])('keeps claims in segments: %s', (_name, fault, faultyObject) => {
    const checkpoints = {intervalMs: 60_000, maxRecords: 1, minSegmentBytes: 1, trimAgeMs: 5_000};
    const owner = harness.startAuthority('a', {checkpoints});
    const first = harness.request('k');
    harness.time.run(owner.claim(first));
    harness.time.run(owner.complete('k', claimIdOf(first), runOutcome(1)));
    harness.store.setFaultPlan((kind, key) =>
      kind === 'write' && key.startsWith(`claims/0/${faultyObject}`) ? fault : 'none',
    );
    harness.time.advance(2_000);
    harness.time.run(owner.outcomeOf('other'));
    harness.time.advance(70_000);
    harness.store.setFaultPlan(() => 'none');
    // An idle owner wakes up once a minute.
    harness.time.advance(200_000);
    const objects = harness.store.keys().map(key => key.replace(/\d{12}-.*/, ''));
    expect(objects).toEqual([
      'claims/0/checkpoint',
      'claims/0/segment_index/',
      'claims/0/segments/',
      'claims/shards',
    ]);
    harness.ownerInstanceId = 'b';
    const next = harness.startAuthority('b', {checkpoints});
    for (const authority of [owner, next]) {
      harness.ownerInstanceId = authority === owner ? 'a' : 'b';
      expect(harness.time.run(authority.outcomeOf('k')).state).toBe('run');
      const retry = harness.request('k', 'entry#2');
      expect(harness.time.run(authority.claim(retry)).state).toBe('run');
      const reused = harness.request('k', 'entry#3', 'other');
      expect(harness.time.run(authority.claim(reused)).state).toBe('key-reused');
    }
    harness.time.advance(claimRetentionMs);
    expect(harness.time.run(next.claim(harness.request('k', 'entry#4'))).state).toBe('granted');
    harness.time.advance(200_000);
    expect(harness.store.keys().filter(key => key.includes('segment'))).toEqual([]);
  });

  // Guards against a grant for a key whose segment is temporarily unreadable.
  it('grants nothing for a key whose segment cannot be read', () => {
    const checkpoints = {intervalMs: 60_000, maxRecords: 1, minSegmentBytes: 1};
    const owner = harness.startAuthority('a', {checkpoints});
    const first = harness.request('k');
    harness.time.run(owner.claim(first));
    harness.time.run(owner.complete('k', claimIdOf(first), runOutcome(1)));
    harness.time.advance(200_000);
    harness.store.setFaultPlan((_kind, key) =>
      key.includes('/segments/') ? 'unavailable' : 'none',
    );
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#2'))).state).toBe(
      'unavailable',
    );
    expect(harness.time.run(owner.outcomeOf('k')).state).toBe('unavailable');
    expect(harness.time.run(owner.claim(harness.request('k2'))).state).toBe('granted');
  });

  // Guards against an owner that keeps using segments that another owner has replaced and removed.
  it('an owner that finds a checkpoint of another owner replays from it', () => {
    const checkpoints = {intervalMs: 60_000, maxRecords: 1, minSegmentBytes: 1};
    const former = harness.startAuthority('a', {checkpoints, ownerOf: () => 'a'});
    const next = harness.startAuthority('b', {checkpoints, ownerOf: () => 'b'});
    const keys = ['k1', 'k2', 'k3', 'k4'].map((key, index) => {
      const owner = index % 2 === 0 ? former : next;
      // The first request finds the log position taken by the other owner, which has also written checkpoints.
      const firstRequest = harness.request(key, 'entry#1');
      const wasRefused = harness.time.run(owner.claim(firstRequest)).state !== 'granted';
      if (wasRefused) harness.time.advance(5_000);
      const request = wasRefused ? harness.request(key, 'entry#2') : firstRequest;
      if (wasRefused) expect(harness.time.run(owner.claim(request)).state).toBe('granted');
      harness.time.run(owner.complete(key, claimIdOf(request), runOutcome(1)));
      harness.time.advance(130_000);
      return key;
    });
    for (const owner of [former, next]) {
      harness.time.run(owner.outcomeOf('a position that may be taken'));
      harness.time.advance(5_000);
      const states = keys.map(key => harness.time.run(owner.outcomeOf(key)).state);
      expect(states).toEqual(['run', 'run', 'run', 'run']);
    }
  });

  // Guards against a shard whose fiber ends with an exception and is not restarted.
  it('restarts a shard after a defect, logs the state change and counts the defect', () => {
    const states: string[] = [];
    const logger = {stateChange: (_level: string, {state}: StateChange) => void states.push(state)};
    const owner = harness.startAuthority('a', {logger});
    harness.time.run(owner.claim(harness.request('before')));
    harness.store.setFaultPlan((_kind, key) => {
      if (key.includes('/log/')) throw new Error('defect');
      return 'none';
    });
    expect(harness.time.run(owner.claim(harness.request('k'))).state).toBe('unavailable');
    harness.time.advance(2_000);
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#2'))).state).toBe(
      'unavailable',
    );
    harness.store.setFaultPlan(() => 'none');
    harness.time.advance(10_000);
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#3'))).state).toBe('granted');
    expect(owner.counts()[0]).toMatchObject({defects: 2, takeovers: 2});
    // Two defects without a successful iteration between them are one state change.
    expect(states).toEqual(['failed', 'serving']);
  });

  // Guards against instances with different numbers of shards, which would map a key to different logs.
  it('refuses claims if its number of shards differs from that of the deployment', () => {
    harness.time.run(harness.startAuthority('a').claim(harness.request('k')));
    const other = harness.startAuthority('a', {shardCount: 2});
    expect(harness.time.run(other.claim(harness.request('k2'))).state).toBe('unavailable');
  });

  // Guards against a record that is skipped because it cannot be read.
  it('grants nothing if a record in its log is invalid', () => {
    const nonce = ' '.repeat(36);
    const key = 'claims/0/log/000000000001';
    Effect.runSync(harness.store.create(key, Buffer.from(`${nonce}{"claims":[]}`)));
    const owner = harness.startAuthority('a');
    expect(harness.time.run(owner.claim(harness.request('k'))).state).toBe('unavailable');
  });
});
