import {ManualTime} from '@cuminsill/utils';
import type {TargetRecord} from '../src/gateway_types';
import {closeSpreadMs} from '../src/connection_history';
import type {LostConnection, SuspectRequest} from '../src/pending_losses';
import {PendingLosses, processEndNoticeMs} from '../src/pending_losses';
import {targetRecord} from '../__fixtures__/test_records';

const address = {host: '10.0.0.1', port: 8_000};
const loss: LostConnection = {
  fingerprint: 'f',
  incarnationId: 'i-1@1000',
  isRepeat: false,
  targetId: 'i-1',
  address,
};

interface LossCase {
  readonly name: string;
  readonly act: (losses: PendingLosses, time: ManualTime) => void;
  readonly expected: 'confirmed' | 'discarded' | 'pending';
}

function recordAt(id: string, startedAtMs: number, port = address.port): TargetRecord {
  return targetRecord({id, startedAtMs, address: {...address, port}});
}

const lossCases: readonly LossCase[] = [
  {name: 'nothing is known yet', act: () => undefined, expected: 'pending'},
  {
    name: 'a probe finds no one',
    act: losses => losses.onProcessEnded('i-1'),
    expected: 'confirmed',
  },
  {
    name: 'a probe finds no one at another target',
    act: losses => losses.onProcessEnded('i-2'),
    expected: 'pending',
  },
  {
    name: 'the target registers with a later start',
    act: losses => losses.onProcessRegistered(recordAt('i-1', 2_000)),
    expected: 'confirmed',
  },
  {
    name: 'another target registers at the address',
    act: losses => losses.onProcessRegistered(recordAt('i-2', 0)),
    expected: 'confirmed',
  },
  {
    name: 'the same process is listed again',
    act: losses => losses.onProcessRegistered(recordAt('i-1', 1_000)),
    expected: 'pending',
  },
  {
    name: 'a target registers at another port',
    act: losses => losses.onProcessRegistered(recordAt('i-2', 0, address.port + 1)),
    expected: 'pending',
  },
  {
    name: 'nothing shows an end in time',
    act: (losses, time) => {
      time.advance(processEndNoticeMs);
      losses.review();
    },
    expected: 'discarded',
  },
];

// Guards against dropping evidence because a process that was started again accepts connections, and against evidence
// from connections that living targets close.
test.each(lossCases)('a loss is $expected when $name', ({act, expected}) => {
  const time = new ManualTime(1_700_000_000_000);
  let state = 'pending';
  const losses = new PendingLosses(
    {
      recordLostTarget: () => (state = 'confirmed'),
      recordDiscardedLoss: () => (state = 'discarded'),
    },
    {closedTogether: () => false},
    time,
  );
  losses.add(loss, loss.incarnationId);
  act(losses, time);
  expect(state).toBe(expected);
});

// Guards against a restart that is registered before the loss is noticed.
test('a loss is confirmed when the target has already registered again', () => {
  const confirmed: string[] = [];
  const losses = new PendingLosses(
    {
      recordLostTarget: ({incarnationId}) => confirmed.push(incarnationId),
      recordDiscardedLoss: () => undefined,
    },
    {closedTogether: () => false},
    new ManualTime(1_700_000_000_000),
  );
  losses.add(loss, 'i-1@2000');
  expect(confirmed).toEqual(['i-1@1000']);
});

// Guards against counting several crashes of a target as one, because it starts again faster than its record changes.
test('each time that the connections close together counts', () => {
  const confirmed: string[] = [];
  const time = new ManualTime(1_700_000_000_000);
  const listener = {
    recordLostTarget: ({incarnationId}: SuspectRequest) => confirmed.push(incarnationId),
    recordDiscardedLoss: () => undefined,
  };
  const losses = new PendingLosses(listener, {closedTogether: () => true}, time);
  for (const fingerprints of [['f', 'g'], ['f']]) {
    for (const fingerprint of fingerprints) losses.add({...loss, fingerprint}, loss.incarnationId);
    time.advance(closeSpreadMs + 1);
    losses.review();
  }
  expect(confirmed).toEqual(['i-1@1000', 'i-1@1000', 'i-1@1000+1']);
});
