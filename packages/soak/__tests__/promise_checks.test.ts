/** Each check is shown a history that breaks its promise and one that does not, so that no check passes everything. */
import type {RequestEnd, SentRequest, SoakHistory, TargetEvent} from '../src';
import {bodyOf, checkPromises, soakBounds} from '../src';

const calm: SoakHistory = {
  requests: [],
  targetEvents: [],
  disruptions: [],
  exits: [],
  configurations: [
    {version: 1, atMs: 0, services: {'/read/': 'pages', '/book/': 'orders'}},
    {version: 2, atMs: 50_000, services: {'/read/': 'files', '/book/': 'orders', '/new/': 'pages'}},
  ],
  leavings: [],
  notReady: [],
  memoryPeaks: [{gateway: 'g', bytes: 60e6}],
  healedAtMs: Infinity,
  endedAtMs: 100_000,
};

function answered(status: number, changes: object = {}): RequestEnd {
  const signature = status === 200 ? 'signed' : undefined;
  return {
    kind: 'answered',
    status,
    answeredId: 'r',
    signature,
    body: bodyOf('t', 'r'),
    retryAfterS: undefined,
    ...changes,
  };
}

function sent(changes: Partial<SentRequest> = {}): SentRequest {
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
    end: answered(200),
    ...changes,
  };
}

function seen(kind: TargetEvent['kind'], changes: Partial<TargetEvent> = {}): TargetEvent {
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

const served = [seen('arrived'), seen('ran'), seen('answered')];
const cut: RequestEnd = {kind: 'cut', reason: 'reset'};
const left: RequestEnd = {kind: 'left'};
const disruption = {subject: 'g', kind: 'x', planned: false, fromMs: 9_000, untilMs: 9_500};
const recovered = {...calm, healedAtMs: 9_000, requests: [sent()], targetEvents: served};

function broken(history: Partial<SoakHistory>): readonly string[] {
  const found = checkPromises(
    {...calm, healedAtMs: 9_000, requests: [sent()], targetEvents: served, ...history},
    soakBounds,
    {timed: true},
  );
  return [...new Set(found.map(({check}) => check))];
}

test('a history without a fault breaks nothing', () => {
  expect(broken(recovered)).toEqual([]);
});

const breaking: ReadonlyArray<readonly [string, string, Partial<SoakHistory>]> = [
  ['at-most-once', 'a booking runs twice', {targetEvents: [...served, seen('ran')]}],
  [
    'true-refusal',
    'a refused booking ran',
    {
      requests: [
        sent({end: answered(503)}),
        sent({id: 'x', end: answered(200, {answeredId: 'x', body: bodyOf('t', 'x')})}),
      ],
      targetEvents: [...served, ...served.map(event => ({...event, requestId: 'x'}))],
    },
  ],
  [
    'own-answer',
    'an answer bears another id',
    {requests: [sent({end: answered(200, {answeredId: 'other'})})]},
  ],
  [
    'own-answer',
    'a success has no signature',
    {requests: [sent({end: answered(200, {signature: undefined})})]},
  ],
  [
    'own-answer',
    'a body is not whole',
    {requests: [sent({end: answered(200, {body: 'r at t: the'})})]},
  ],
  [
    'own-answer',
    'a failure is signed that no target gave',
    {
      requests: [
        sent(),
        sent({id: 's', end: answered(500, {answeredId: 's', signature: 'signed'})}),
        sent(),
        sent(),
        sent(),
        sent(),
        sent(),
        sent(),
        sent(),
        sent(),
      ],
    },
  ],
  [
    'nothing-invented',
    'a request runs that nobody sent',
    {targetEvents: [...served, seen('ran', {requestId: 'unknown'})]},
  ],
  [
    'nothing-invented',
    'a body is changed',
    {targetEvents: [seen('arrived'), seen('ran', {body: 'c'}), seen('answered')]},
  ],
  [
    'allowed-service',
    'a booking runs at a service that no version allows',
    {targetEvents: served.map(event => ({...event, service: 'pages'}))},
  ],
  [
    'true-denial',
    'a route of every version is denied',
    {requests: [sent(), sent({id: 's', path: '/read/1', end: answered(404, {answeredId: 's'})})]},
  ],
  [
    'no-exit',
    'a process ends by itself',
    {exits: [{gateway: 'g', atMs: 1, exitCode: 1, signal: null, asked: false}]},
  ],
  [
    'no-exit',
    'a stop ends with a failure',
    {exits: [{gateway: 'g', atMs: 1, exitCode: 1, signal: null, asked: true}]},
  ],
  ['memory', 'a process uses too much memory', {memoryPeaks: [{gateway: 'g', bytes: 400e6}]}],
  ['drain', 'a request reaches a target that left', {leavings: [{targetId: 't', atMs: 7_000}]}],
  [
    'planned-stop',
    'a request at a target is cut',
    {requests: [sent(), ...Array.from({length: 9}, () => sent()), sent({end: cut})]},
  ],
  [
    'cancellation',
    'a request reaches a target after its caller left',
    {
      requests: [
        sent({id: 'ok', end: answered(200, {answeredId: 'ok', body: bodyOf('t', 'ok')})}),
        sent({end: left, endedAtMs: 9_000}),
      ],
      targetEvents: [...served, ...served.map(event => ({...event, requestId: 'ok'}))],
    },
  ],
  ['time-out', 'an answer comes after the time-out', {requests: [sent({endedAtMs: 11_600})]}],
  [
    'recovery',
    'few are served after the last disruption',
    {requests: [sent({end: answered(504)})], targetEvents: []},
  ],
  ['recovery', 'a gateway is not ready', {notReady: ['g']}],
  [
    'retry-limit',
    'a service gets too many repeats',
    {targetEvents: [...served, ...Array.from({length: 62}, () => seen('arrived'))]},
  ],
];

test.each(breaking)('%s: %s', (check, _what, history) => {
  expect(broken(history)).toContain(check);
});

function readAt(
  sentAtMs: number,
  id: string,
  service: string,
): readonly [SentRequest, TargetEvent] {
  const read = {id, kind: 'read' as const, method: 'GET', path: '/read/1', body: ''};
  const end = answered(200, {answeredId: id, body: bodyOf('t', id)});
  const run = {requestId: id, service, method: 'GET', path: '/read/1', body: '', atMs: sentAtMs};
  return [sent({...read, sentAtMs, endedAtMs: sentAtMs + 10, end}), seen('ran', run)];
}

test('no-step-back: a process uses an older version after a newer one', () => {
  const [first, firstRun] = readAt(51_000, 'new', 'files');
  const [second, secondRun] = readAt(52_000, 'old', 'pages');
  const history = {requests: [first, second], targetEvents: [firstRun, secondRun]};
  expect(broken(history)).toContain('no-step-back');
  const restarted = {...second, incarnation: 2};
  expect(broken({...history, requests: [first, restarted]})).not.toContain('no-step-back');
});

test('configuration: a version is not in force in time', () => {
  const [late, lateRun] = readAt(60_000, 'old', 'pages');
  expect(broken({requests: [late], targetEvents: [lateRun]})).toContain('configuration');
  const [early, earlyRun] = readAt(51_000, 'old', 'pages');
  expect(broken({requests: [early], targetEvents: [earlyRun]})).not.toContain('configuration');
});

const excused: ReadonlyArray<readonly [string, string, Partial<SoakHistory>]> = [
  [
    'drain',
    'the gateway was disturbed',
    {leavings: [{targetId: 't', atMs: 7_000}], disruptions: [disruption]},
  ],
  [
    'planned-stop',
    'the gateway was killed',
    {requests: [sent({end: cut})], disruptions: [disruption]},
  ],
  [
    'planned-stop',
    'the request crossed the end of its connection',
    {requests: [sent({end: cut, endedAtMs: 10_100})], targetEvents: []},
  ],
  [
    'own-answer',
    'a body without a length is cut',
    {requests: [sent({end: answered(200, {body: bodyOf('t', 'r').slice(0, 8)})})]},
  ],
  [
    'time-out',
    'the gateway was disturbed',
    {requests: [sent({endedAtMs: 11_600})], disruptions: [disruption]},
  ],
];

test.each(excused)('%s allows that %s', (check, _what, history) => {
  expect(broken(history)).not.toContain(check);
});
