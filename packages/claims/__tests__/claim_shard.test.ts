import type {StateChange} from '@cuminsill/logger';
import type {StoreFault} from '@cuminsill/standins';
import {Effect} from 'effect';
import type {ClaimOutcome} from '../src';
import {claimIdOf, maxStoredBodyBytes, claimRetentionMs} from '../src';
import {AuthorityHarness} from './authority_harness';

const run = (bytes: number): ClaimOutcome => ({
  outcome: 'run',
  answer: {status: 201, contentType: 'text/plain', body: new Uint8Array(bytes).fill(7)},
});

describe('claim shards', () => {
  let harness: AuthorityHarness;

  beforeEach(() => {
    harness = new AuthorityHarness();
  });

  // Guards against a retry that is granted while an earlier attempt may have run.
  it.each([
    [{outcome: 'not-run'} as const, 'granted', 'not-run'],
    [{outcome: 'unknown'} as const, 'unknown', 'unknown'],
    [run(10), 'run', 'run'],
  ])('after the outcome %j a retry is answered "%s"', (outcome, retryState, outcomeState) => {
    const owner = harness.authority('a');
    const first = harness.request('k');
    expect(harness.time.run(owner.claim(first)).state).toBe('granted');
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#2'))).state).toBe(
      'in-progress',
    );
    expect(harness.time.run(owner.complete('k', claimIdOf(first), outcome))).toBe('recorded');
    expect(harness.time.run(owner.outcomeOf('k')).state).toBe(outcomeState);
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#3'))).state).toBe(retryState);
  });

  // Guards against answers over 1 KiB that fill the checkpoint.
  it.each([
    [maxStoredBodyBytes, maxStoredBodyBytes],
    [maxStoredBodyBytes + 1, undefined],
  ])('of a body of %i bytes keeps %s', (bodyBytes, keptBytes) => {
    const owner = harness.authority('a');
    const first = harness.request('k');
    harness.time.run(owner.claim(first));
    harness.time.run(owner.complete('k', claimIdOf(first), run(bodyBytes)));
    const answer = harness.time.run(owner.claim(harness.request('k', 'entry#2')));
    expect(answer.state === 'run' && answer.answer.body?.byteLength).toBe(keptBytes);
  });

  // Guards against two attempts that share a claim id because neither has a token.
  it('grants nothing to a request without an attempt token', () => {
    const owner = harness.authority('a');
    expect(harness.time.run(owner.claim(harness.request('k', ''))).state).toBe('unavailable');
  });

  it('refuses the same key with another request', () => {
    const owner = harness.authority('a');
    harness.time.run(owner.claim(harness.request('k')));
    const reused = owner.claim(harness.request('k', 'entry#2', 'other'));
    expect(harness.time.run(reused).state).toBe('key-reused');
  });

  // Guards against a grant without a durable record, and against a key that is lost after an outage.
  it.each([
    ['answer-lost-after-write', 'granted', 'in-progress'],
    ['answer-lost-before-write', 'unavailable', 'granted'],
    ['unavailable', 'unavailable', 'granted'],
  ] as const)('with %s answers "%s", and "%s" after the fault', (fault, during, after) => {
    const owner = harness.authority('a');
    harness.time.run(owner.claim(harness.request('other')));
    harness.failRecordWrites(fault);
    expect(harness.time.run(owner.claim(harness.request('k'))).state).toBe(during);
    harness.failRecordWrites('none');
    harness.time.advance(10_000);
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#2'))).state).toBe(after);
  });

  // Guards against a paused owner that grants, or says "not run", after its shard has moved.
  it('an owner whose position is taken grants nothing and does not say "not run"', () => {
    const former = harness.authority('a', {ownerOf: () => 'a'});
    const next = harness.authority('b', {ownerOf: () => 'b'});
    harness.time.run(former.claim(harness.request('before')));
    expect(harness.time.run(next.claim(harness.request('k'))).state).toBe('granted');
    expect(harness.time.run(former.outcomeOf('k')).state).toBe('not-owner');
    harness.time.advance(5_000);
    expect(harness.time.run(former.claim(harness.request('k', 'entry#2'))).state).toBe('unknown');
    expect(former.counts()[0]).toMatchObject({takeovers: 2, stepDowns: 1});
  });

  // Guards against a claim of a former owner that is granted again, or stays unknown after its report.
  it.each([
    [{outcome: 'not-run'} as const, 'granted'],
    [{outcome: 'unknown'} as const, 'unknown'],
    [run(1), 'run'],
  ])('a new owner treats an open claim as unknown until %j is reported', (outcome, state) => {
    const first = harness.request('k');
    harness.time.run(harness.authority('a').claim(first));
    harness.owner = 'b';
    const next = harness.authority('b');
    expect(harness.time.run(next.claim(harness.request('k', 'entry#2'))).state).toBe('unknown');
    expect(harness.time.run(next.complete('k', claimIdOf(first), outcome))).toBe('recorded');
    expect(harness.time.run(next.claim(harness.request('k', 'entry#3'))).state).toBe(state);
  });

  // Guards against a delayed claim message that blocks the key after its attempt has withdrawn it.
  it('does not grant a claim that was withdrawn before it arrived', () => {
    const owner = harness.authority('a');
    const late = harness.request('k');
    harness.time.run(owner.complete('k', claimIdOf(late), {outcome: 'not-run'}));
    expect(harness.time.run(owner.claim(late)).state).toBe('unavailable');
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#2'))).state).toBe('granted');
  });

  // Guards against a duplicated message that takes the key after its attempt was answered and has ended.
  it('does not grant a duplicate of a claim that was answered "in-progress"', () => {
    const owner = harness.authority('a');
    const first = harness.request('k');
    const second = harness.request('k', 'entry#2');
    harness.time.run(owner.claim(first));
    expect(harness.time.run(owner.claim(second)).state).toBe('in-progress');
    harness.time.run(owner.complete('k', claimIdOf(first), {outcome: 'not-run'}));
    expect(harness.time.run(owner.claim(second)).state).toBe('unavailable');
    expect(harness.time.run(owner.claim(harness.request('k', 'entry#3'))).state).toBe('granted');
  });

  // Guards against a write per request, and against a wait when the shard is idle.
  it('carries all waiting claims in one append and is limited to 10 appends a second', () => {
    const owner = harness.authority('a');
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

  // Guards against state that is lost when records are trimmed, and against a log that grows for ever.
  it('restores claims from a checkpoint after trimming, and forgets them after the retention', () => {
    const owner = harness.authority('a');
    const first = harness.request('k');
    harness.time.run(owner.claim(first));
    harness.time.run(owner.complete('k', claimIdOf(first), run(1)));
    harness.time.advance(3 * 3_600_000);
    expect(harness.store.keys()).toEqual(['claims/0/checkpoint', 'claims/shards']);
    harness.owner = 'b';
    const next = harness.authority('b');
    expect(harness.time.run(next.claim(harness.request('k', 'entry#2'))).state).toBe('run');
    harness.time.advance(claimRetentionMs);
    expect(harness.time.run(next.claim(harness.request('k', 'entry#3'))).state).toBe('granted');
  });

  // Guards against claims that are lost, granted again or kept for ever when they are moved to a segment, whatever
  // happens to the writes of the segment and of the checkpoint that names it.
  it.each<[string, StoreFault, 'segments' | 'segment_index' | 'checkpoint' | 'none']>([
    ['without faults', 'none', 'none'],
    ['index refused', 'unavailable', 'segment_index'],
    ['data refused', 'unavailable', 'segments'],
    ['data written, answer lost', 'answer-lost-after-write', 'segments'],
    ['checkpoint refused', 'unavailable', 'checkpoint'],
    ['checkpoint not written, answer lost', 'answer-lost-before-write', 'checkpoint'],
    ['checkpoint written, answer lost', 'answer-lost-after-write', 'checkpoint'],
  ])('keeps claims in segments: %s', (_name, fault, object) => {
    const checkpoints = {intervalMs: 60_000, records: 1, segmentBytes: 1, trimAgeMs: 5_000};
    const owner = harness.authority('a', {checkpoints});
    const first = harness.request('k');
    harness.time.run(owner.claim(first));
    harness.time.run(owner.complete('k', claimIdOf(first), run(1)));
    harness.store.setFaultPlan((kind, key) =>
      kind === 'write' && key.startsWith(`claims/0/${object}`) ? fault : 'none',
    );
    harness.time.advance(2_000);
    harness.time.run(owner.outcomeOf('other'));
    harness.time.advance(70_000);
    harness.store.setFaultPlan(() => 'none');
    // An idle owner wakes once a minute.
    harness.time.advance(200_000);
    const objects = harness.store.keys().map(key => key.replace(/\d{12}-.*/, ''));
    expect(objects).toEqual([
      'claims/0/checkpoint',
      'claims/0/segment_index/',
      'claims/0/segments/',
      'claims/shards',
    ]);
    harness.owner = 'b';
    const next = harness.authority('b', {checkpoints});
    for (const authority of [owner, next]) {
      harness.owner = authority === owner ? 'a' : 'b';
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

  // Guards against a grant for a key in a segment that cannot be read at the moment.
  it('grants nothing for a key whose segment is not readable', () => {
    const checkpoints = {intervalMs: 60_000, records: 1, segmentBytes: 1};
    const owner = harness.authority('a', {checkpoints});
    const first = harness.request('k');
    harness.time.run(owner.claim(first));
    harness.time.run(owner.complete('k', claimIdOf(first), run(1)));
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

  // Guards against an owner that goes on with segments which another owner has replaced and removed.
  it('an owner that finds a checkpoint of another owner replays from it', () => {
    const checkpoints = {intervalMs: 60_000, records: 1, segmentBytes: 1};
    const former = harness.authority('a', {checkpoints, ownerOf: () => 'a'});
    const next = harness.authority('b', {checkpoints, ownerOf: () => 'b'});
    const granted = ['k1', 'k2', 'k3', 'k4'].map((key, index) => {
      const owner = index % 2 === 0 ? former : next;
      // The first request finds the position taken by the other owner, who has written checkpoints since.
      const refused = harness.request(key, 'entry#1');
      const wasRefused = harness.time.run(owner.claim(refused)).state !== 'granted';
      if (wasRefused) harness.time.advance(5_000);
      const request = wasRefused ? harness.request(key, 'entry#2') : refused;
      if (wasRefused) expect(harness.time.run(owner.claim(request)).state).toBe('granted');
      harness.time.run(owner.complete(key, claimIdOf(request), run(1)));
      harness.time.advance(130_000);
      return key;
    });
    for (const owner of [former, next]) {
      harness.time.run(owner.outcomeOf('a position that may be taken'));
      harness.time.advance(5_000);
      const states = granted.map(key => harness.time.run(owner.outcomeOf(key)).state);
      expect(states).toEqual(['run', 'run', 'run', 'run']);
    }
  });

  // Guards against a shard that stays without a fiber after an exception.
  it('restarts a shard after a defect, logs the change of state and counts it', () => {
    const states: string[] = [];
    const logger = {stateChange: (_level: string, {state}: StateChange) => void states.push(state)};
    const owner = harness.authority('a', {logger});
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
    // Two defects without a successful round between them are one change of state.
    expect(states).toEqual(['failed', 'serving']);
  });

  // Guards against two numbers of shards, which would map a key to two logs.
  it('refuses claims when its number of shards differs from the deployment', () => {
    harness.time.run(harness.authority('a').claim(harness.request('k')));
    const other = harness.authority('a', {shardCount: 2});
    expect(harness.time.run(other.claim(harness.request('k2'))).state).toBe('unavailable');
  });

  // Guards against a record that is skipped because it cannot be read.
  it('serves nothing when a record in its log is not valid', () => {
    const nonce = ' '.repeat(36);
    const key = 'claims/0/log/000000000001';
    Effect.runSync(harness.store.create(key, Buffer.from(`${nonce}{"claims":[]}`)));
    const owner = harness.authority('a');
    expect(harness.time.run(owner.claim(harness.request('k'))).state).toBe('unavailable');
  });
});
