import {PoisonGuard} from '@cuminsill/steering';
import {ManualTime} from '@cuminsill/utils';
import {DecisionLog} from '../src/decision_log';
import {GatewayMetrics} from '../src/gateway_metrics';
import {PoisonTracker} from '../src/poison_tracker';
import type {SuspectRequest} from '../src/pending_losses';

type Line = Readonly<Record<string, unknown>>;

function makeTracker(): {readonly tracker: PoisonTracker; readonly lines: Line[]} {
  const lines: Line[] = [];
  const time = new ManualTime(1_700_000_000_000);
  const output = {
    write: (text: string) => lines.push(JSON.parse(text) as Line),
    takeDropped: () => 0,
    drain: () => Promise.resolve(),
  };
  const log = new DecisionLog('gateway-1', time, output);
  return {tracker: new PoisonTracker(new PoisonGuard(time), log, new GatewayMetrics()), lines};
}

function lossAt(incarnationId: string): SuspectRequest {
  return {fingerprint: 'f', incarnationId, isRepeat: true};
}

const untilMs = 1_700_000_060_000;

interface EvidenceCase {
  readonly name: string;
  readonly act: (tracker: PoisonTracker) => void;
  /** Events of the `poison` lines, in order. */
  readonly events: readonly string[];
  readonly lastLine: Line;
}

const evidenceCases: readonly EvidenceCase[] = [
  {
    name: 'a lost target',
    act: tracker => tracker.recordLostTarget(lossAt('i-1@1')),
    events: ['suspected'],
    lastLine: {lostTargetIds: ['i-1@1'], answeredBefore: false},
  },
  {
    name: 'a second lost target, which quarantines the request',
    act: tracker => {
      tracker.recordLostTarget(lossAt('i-1@1'));
      tracker.recordLostTarget(lossAt('i-2@1'));
    },
    events: ['suspected', 'suspected', 'quarantined'],
    lastLine: {lostTargetIds: ['i-1@1', 'i-2@1'], reason: 'own evidence'},
  },
  {
    name: 'evidence of another gateway, twice',
    act: tracker => {
      const suspicions = [
        {fingerprint: 'f', targetIds: ['i-1', 'i-2'], repeatTargetIds: ['i-2'], untilMs},
      ];
      tracker.mergeSuspicions(suspicions, 'gateway-2');
      tracker.mergeSuspicions(suspicions, 'gateway-2');
    },
    events: ['quarantined'],
    lastLine: {lostTargetIds: ['i-1', 'i-2'], reason: 'evidence of gateway-2'},
  },
  {
    name: 'an answer to a suspected request',
    act: tracker => {
      tracker.recordLostTarget(lossAt('i-1@1'));
      tracker.recordAnswered('f', 'i-2', 200);
    },
    events: ['suspected', 'cleared'],
    lastLine: {targetId: 'i-2', status: 200, lostTargetIds: ['i-1@1']},
  },
  {
    name: 'an answer with a server error, which clears nothing',
    act: tracker => {
      tracker.recordLostTarget(lossAt('i-1@1'));
      tracker.recordAnswered('f', 'i-2', 500);
    },
    events: ['suspected'],
    lastLine: {lostTargetIds: ['i-1@1']},
  },
  {
    name: 'a target that is lost after an answer',
    act: tracker => {
      tracker.recordAnswered('f', 'i-2', 200);
      tracker.recordLostTarget(lossAt('i-1@1'));
    },
    events: ['suspected'],
    lastLine: {answeredBefore: true},
  },
  {
    name: 'a loss at a target whose process has not ended',
    act: tracker => tracker.recordDiscardedLoss('f', 'i-1'),
    events: ['loss-discarded'],
    lastLine: {targetId: 'i-1', reason: 'no sign of a restart'},
  },
];

// Without these lines, nobody can tell afterwards why a request that crashes targets was still sent.
test.each(evidenceCases)('logs $name', ({act, events, lastLine}) => {
  const {tracker, lines} = makeTracker();
  act(tracker);
  expect(lines.map(({line, event}) => [line, event])).toEqual(
    events.map(event => ['poison', event]),
  );
  expect(lines.at(-1)).toMatchObject({fingerprint: 'f', ...lastLine});
});
