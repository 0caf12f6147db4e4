/** Guards against a check that always passes: each one is run on a history that breaks its promise and one that does not. */
import type {RequestEnd, SentRequest, SoakHistory, TargetEvent} from '../src';
import {answerBody, checkPromises, soakBounds} from '../src';

const emptyHistory: SoakHistory = {
  requests: [],
  targetEvents: [],
  disruptions: [],
  exits: [],
  configurations: [
    {version: 1, atMs: 0, services: {'/read/': 'pages', '/book/': 'orders'}},
    {version: 2, atMs: 50_000, services: {'/read/': 'files', '/book/': 'orders', '/new/': 'pages'}},
  ],
  leavings: [],
  crashes: [],
  limits: [],
  directives: [],
  notReady: [],
  memoryPeaks: [{gateway: 'g', bytes: 60e6}],
  healedAtMs: Infinity,
  endedAtMs: 100_000,
};

function answeredEnd(status: number, changes: object = {}): RequestEnd {
  const signature = status === 200 ? 'signed' : undefined;
  return {
    kind: 'answered',
    status,
    answeredId: 'r',
    signature,
    body: answerBody('t', 'r'),
    retryAfterS: undefined,
    ...changes,
  };
}

function sentRequest(changes: Partial<SentRequest> = {}): SentRequest {
  return {
    id: 'r',
    kind: 'book',
    method: 'POST',
    path: '/book/1',
    body: 'b',
    gateway: 'g',
    incarnation: 1,
    sentAtMs: 10_000,
    endedAtMs: 10_050,
    end: answeredEnd(200),
    ...changes,
  };
}

function targetEvent(kind: TargetEvent['kind'], changes: Partial<TargetEvent> = {}): TargetEvent {
  const run = kind === 'ran' ? {method: 'POST', path: '/book/1', body: 'b'} : {};
  const status = kind === 'answered' ? {status: 200} : {};
  return {
    kind,
    atMs: 10_010,
    targetId: 't',
    service: 'orders',
    requestId: 'r',
    ...run,
    ...status,
    ...changes,
  };
}

const servedEvents = [targetEvent('arrived'), targetEvent('ran'), targetEvent('answered')];
const cut: RequestEnd = {kind: 'cut', reason: 'reset'};
const cancelled: RequestEnd = {kind: 'left'};
const unplannedDisruption = {
  subject: 'g',
  kind: 'x',
  planned: false,
  fromMs: 9_000,
  untilMs: 9_500,
};
const validHistory = {
  ...emptyHistory,
  healedAtMs: 9_000,
  requests: [sentRequest()],
  targetEvents: servedEvents,
};

function brokenChecks(history: Partial<SoakHistory>): readonly string[] {
  const found = checkPromises(
    {
      ...emptyHistory,
      healedAtMs: 9_000,
      requests: [sentRequest()],
      targetEvents: servedEvents,
      ...history,
    },
    soakBounds,
    {includesTimedChecks: true},
  );
  return [...new Set(found.map(({check}) => check))];
}

test('a history that keeps every promise has no violations', () => {
  expect(brokenChecks(validHistory)).toEqual([]);
});

/** Crashes at 1, 2 and 3 s by one request, which then reaches a target four times from the given time on. */
function crashedThriceAndSentFrom(fromMs: number): Partial<SoakHistory> {
  const ids = ['c1', 'c2', 'c3', 'c4'];
  return {
    crashes: [1_000, 2_000, 3_000].map(atMs => ({targetId: 't', path: '/book/crash', atMs})),
    requests: ids.map(id =>
      sentRequest({id, path: '/book/crash', sentAtMs: fromMs, end: answeredEnd(502)}),
    ),
    targetEvents: ids.map(requestId => targetEvent('arrived', {requestId, atMs: fromMs + 10})),
  };
}

test('a crashing request may reach targets until gateways have heard of the third crash', () => {
  expect(brokenChecks(crashedThriceAndSentFrom(6_000))).not.toContain('crashing-request');
});

/** A target names 2 requests per second for 10 s and gets one every `intervalMs`, all from one gateway. */
function limitedAndSentEvery(intervalMs: number): Partial<SoakHistory> {
  const count = Math.floor(10_000 / intervalMs);
  const ids = Array.from({length: count}, (_value, number) => `r-${number}`);
  return {
    limits: [{targetId: 't', requestsPerS: 2, fromMs: 10_000, untilMs: 20_000}],
    requests: ids.map(id => sentRequest({id, end: answeredEnd(200, {answeredId: id})})),
    targetEvents: ids.flatMap((requestId, number) => {
      const atMs = 10_000 + number * intervalMs;
      return [
        targetEvent('arrived', {requestId, atMs}),
        targetEvent('answered', {requestId, atMs: atMs + 5}),
      ];
    }),
  };
}

test('a limited target may get half as many requests again, and some more', () => {
  expect(brokenChecks(limitedAndSentEvery(250))).not.toContain('target-limit');
});

/** A target says that it leaves, and a request that is sent some time after its first answer reaches it. */
function sentAfterLeaving(afterMs: number): Partial<SoakHistory> {
  const sentAtMs = 10_050 + afterMs;
  const late = {requestId: 'late', atMs: sentAtMs + 5};
  return {
    directives: [{targetId: 't', kind: 'leaving', pauseMs: 0, fromMs: 10_000, untilMs: 20_000}],
    requests: [sentRequest(), sentRequest({id: 'late', sentAtMs, endedAtMs: sentAtMs + 10})],
    targetEvents: [...servedEvents, targetEvent('arrived', late)],
  };
}

/** A target asks for a pause of 3 s in its first rejection, and more requests from the same process arrive later. */
function sentInPause(arrivalTimesMs: readonly number[]): Partial<SoakHistory> {
  const ids = arrivalTimesMs.map((_value, number) => `r-${number}`);
  return {
    directives: [{targetId: 't', kind: 'pause', pauseMs: 3_000, fromMs: 10_000, untilMs: 20_000}],
    requests: ids.map(id => sentRequest({id, end: answeredEnd(503)})),
    targetEvents: ids.map((requestId, number) =>
      targetEvent('arrived', {requestId, atMs: arrivalTimesMs[number] ?? 0}),
    ),
  };
}

const allowedDirectives: ReadonlyArray<readonly [string, string, Partial<SoakHistory>]> = [
  ['target-leaving', 'a request is sent soon after the answer', sentAfterLeaving(2_500)],
  [
    'target-leaving',
    'the gateway was disturbed since the answer',
    {
      ...sentAfterLeaving(2_600),
      disruptions: [{...unplannedDisruption, fromMs: 11_000, untilMs: 11_500}],
    },
  ],
  ['target-pause', 'two requests arrive in the pause', sentInPause([10_000, 11_000, 12_000])],
  [
    'target-pause',
    'requests arrive at once or after the pause',
    sentInPause([10_000, 10_100, 10_200, 10_500, 13_000, 13_100, 13_200]),
  ],
];

test.each(allowedDirectives)('%s allows that %s', (check, _what, history) => {
  expect(brokenChecks(history)).not.toContain(check);
});

const violations: ReadonlyArray<readonly [string, string, Partial<SoakHistory>]> = [
  [
    'crashing-request',
    'a request is sent on long after it has crashed three targets',
    crashedThriceAndSentFrom(8_000),
  ],
  ['target-limit', 'a target gets twice its limit and more', limitedAndSentEvery(200)],
  ['target-leaving', 'a request is sent long after the answer', sentAfterLeaving(2_600)],
  [
    'target-pause',
    'three requests arrive in the pause',
    sentInPause([10_000, 11_000, 12_000, 12_500]),
  ],
  ['at-most-once', 'a booking runs twice', {targetEvents: [...servedEvents, targetEvent('ran')]}],
  [
    'true-refusal',
    'a refused booking ran',
    {
      requests: [
        sentRequest({end: answeredEnd(503)}),
        sentRequest({
          id: 'x',
          end: answeredEnd(200, {answeredId: 'x', body: answerBody('t', 'x')}),
        }),
      ],
      targetEvents: [...servedEvents, ...servedEvents.map(event => ({...event, requestId: 'x'}))],
    },
  ],
  [
    'own-answer',
    'an answer has the id of another request',
    {requests: [sentRequest({end: answeredEnd(200, {answeredId: 'other'})})]},
  ],
  [
    'own-answer',
    'a success has no signature',
    {requests: [sentRequest({end: answeredEnd(200, {signature: undefined})})]},
  ],
  [
    'own-answer',
    'a body is truncated',
    {requests: [sentRequest({end: answeredEnd(200, {body: 'r at t: the'})})]},
  ],
  [
    'own-answer',
    'an error has a signature although no target sent it',
    {
      requests: [
        sentRequest(),
        sentRequest({id: 's', end: answeredEnd(500, {answeredId: 's', signature: 'signed'})}),
        sentRequest(),
        sentRequest(),
        sentRequest(),
        sentRequest(),
        sentRequest(),
        sentRequest(),
        sentRequest(),
        sentRequest(),
      ],
    },
  ],
  [
    'nothing-invented',
    'a request runs that no caller sent',
    {targetEvents: [...servedEvents, targetEvent('ran', {requestId: 'unknown'})]},
  ],
  [
    'nothing-invented',
    'a body is changed',
    {
      targetEvents: [
        targetEvent('arrived'),
        targetEvent('ran', {body: 'c'}),
        targetEvent('answered'),
      ],
    },
  ],
  [
    'allowed-service',
    'a booking runs at a service that no version routes it to',
    {targetEvents: servedEvents.map(event => ({...event, service: 'pages'}))},
  ],
  [
    'true-denial',
    'a route that every version has is answered with 404',
    {
      requests: [
        sentRequest(),
        sentRequest({id: 's', path: '/read/1', end: answeredEnd(404, {answeredId: 's'})}),
      ],
    },
  ],
  [
    'no-exit',
    'a process exits unasked',
    {exits: [{gateway: 'g', atMs: 1, exitCode: 1, signal: null, asked: false}]},
  ],
  [
    'no-exit',
    'a requested stop ends with a non-zero exit code',
    {exits: [{gateway: 'g', atMs: 1, exitCode: 1, signal: null, asked: true}]},
  ],
  ['memory', 'a process uses too much memory', {memoryPeaks: [{gateway: 'g', bytes: 400e6}]}],
  ['drain', 'a request reaches a drained target', {leavings: [{targetId: 't', atMs: 7_000}]}],
  [
    'planned-stop',
    'a request that reached a target is cut off',
    {
      requests: [
        sentRequest(),
        ...Array.from({length: 9}, () => sentRequest()),
        sentRequest({end: cut}),
      ],
    },
  ],
  [
    'cancellation',
    'a request reaches a target after its caller cancelled it',
    {
      requests: [
        sentRequest({
          id: 'ok',
          end: answeredEnd(200, {answeredId: 'ok', body: answerBody('t', 'ok')}),
        }),
        sentRequest({end: cancelled, endedAtMs: 9_000}),
      ],
      targetEvents: [...servedEvents, ...servedEvents.map(event => ({...event, requestId: 'ok'}))],
    },
  ],
  ['time-out', 'an answer comes after the timeout', {requests: [sentRequest({endedAtMs: 11_600})]}],
  [
    'recovery',
    'too few requests are served after the last disruption',
    {requests: [sentRequest({end: answeredEnd(504)})], targetEvents: []},
  ],
  ['recovery', 'a gateway is not ready', {notReady: ['g']}],
  [
    'retry-limit',
    'a service gets too many retries',
    {targetEvents: [...servedEvents, ...Array.from({length: 62}, () => targetEvent('arrived'))]},
  ],
];

test.each(violations)('%s: %s', (check, _what, history) => {
  expect(brokenChecks(history)).toContain(check);
});

function readWithRun(
  sentAtMs: number,
  id: string,
  service: string,
): readonly [SentRequest, TargetEvent] {
  const read = {id, kind: 'read' as const, method: 'GET', path: '/read/1', body: ''};
  const end = answeredEnd(200, {answeredId: id, body: answerBody('t', id)});
  const run = {requestId: id, service, method: 'GET', path: '/read/1', body: '', atMs: sentAtMs};
  return [sentRequest({...read, sentAtMs, endedAtMs: sentAtMs + 10, end}), targetEvent('ran', run)];
}

test('no-step-back: a process uses an older version after a newer one', () => {
  const [first, firstRun] = readWithRun(51_000, 'new', 'files');
  const [second, secondRun] = readWithRun(52_000, 'old', 'pages');
  const history = {requests: [first, second], targetEvents: [firstRun, secondRun]};
  expect(brokenChecks(history)).toContain('no-step-back');
  const restarted = {...second, incarnation: 2};
  expect(brokenChecks({...history, requests: [first, restarted]})).not.toContain('no-step-back');
});

test('configuration: a version is not adopted in time', () => {
  const [late, lateRun] = readWithRun(60_000, 'old', 'pages');
  expect(brokenChecks({requests: [late], targetEvents: [lateRun]})).toContain('configuration');
  const [early, earlyRun] = readWithRun(51_000, 'old', 'pages');
  expect(brokenChecks({requests: [early], targetEvents: [earlyRun]})).not.toContain(
    'configuration',
  );
});

const allowedCases: ReadonlyArray<readonly [string, string, Partial<SoakHistory>]> = [
  [
    'drain',
    'the gateway was disrupted',
    {leavings: [{targetId: 't', atMs: 7_000}], disruptions: [unplannedDisruption]},
  ],
  [
    'planned-stop',
    'the gateway was killed',
    {requests: [sentRequest({end: cut})], disruptions: [unplannedDisruption]},
  ],
  [
    'planned-stop',
    'the request was sent while its connection was being closed',
    {requests: [sentRequest({end: cut, endedAtMs: 10_100})], targetEvents: []},
  ],
  [
    'own-answer',
    'a body without a length is truncated',
    {requests: [sentRequest({end: answeredEnd(200, {body: answerBody('t', 'r').slice(0, 8)})})]},
  ],
  [
    'time-out',
    'the gateway was disrupted',
    {requests: [sentRequest({endedAtMs: 11_600})], disruptions: [unplannedDisruption]},
  ],
];

test.each(allowedCases)('%s allows that %s', (check, _what, history) => {
  expect(brokenChecks(history)).not.toContain(check);
});
