import {explainRequest, explanationText} from '../src/logs/explain_request';

const at = (seconds: number) => new Date(1_700_000_000_000 + seconds * 1_000).toISOString();

function line(kind: string, seconds: number, fields: object, gateway = 'gateway-1'): string {
  return JSON.stringify({line: kind, gateway, time: at(seconds), ...fields});
}

const lost = {
  requestId: 'r-1',
  route: 'book',
  service: 'orders',
  configVersion: 7,
  outcome: 'outcome-unknown',
  status: 502,
  elapsedMs: 16,
  expectedMs: 12,
  waitMs: 0,
  remainingMs: 985,
  usableTargets: 1,
  listedTargets: 2,
  storeAgeMs: 63,
  tries: [{targetId: 'i-0', end: 'lost', elapsedMs: 9, detail: 'read ECONNRESET'}],
};

test('explains the decision, its facts and the related changes of the target', () => {
  const log = [
    line('target', 99, {targetId: 'i-0', state: 'unreachable', reason: 'connect ECONNREFUSED'}),
    line('target', 99, {targetId: 'i-9', state: 'unreachable', reason: 'another target'}),
    line('request', 100, lost),
    line('request', 100, {...lost, requestId: 'r-2'}),
  ].join('\n');
  const [explanation] = explainRequest(log, 'r-1');
  const text = explanation === undefined ? '' : explanationText(explanation);
  expect(text).toContain('refused with 502 after 16 ms, 5012 outcome-unknown');
  expect(text).toContain('target i-0 ended the connection without an answer');
  expect(text).toContain('(read ECONNRESET), 9 ms');
  expect(text).toContain('1 of 2 targets usable, by a list that was 63 ms old');
  expect(text).toContain(
    'expected at the chosen target: 12 ms, of it 0 ms waiting, with 985 ms left',
  );
  expect(text).toContain('target i-0: unreachable, connect ECONNREFUSED');
  expect(text).not.toContain('i-9');
});

/** Guards against too many requests to a cold target of which nobody can tell which gateways took themselves for senders. */
test('tells what the gateway knew of the other senders to a cold target', () => {
  const coldSend = {senderRank: 3, rankedGateways: 87};
  const tries = [{targetId: 'i-0', end: 'answered', elapsedMs: 9, coldSend}];
  const [explanation] = explainRequest(line('request', 100, {...lost, tries}), 'r-1');
  expect(explanation?.decision).toContain(
    'target i-0 answered, 9 ms; it counted as cold, this gateway has rank 3 of 87 as a sender',
  );
});

/** Guards against refusals for want of capacity that an operator cannot tell apart. */
test.each([
  ['deadline', 'refused because its answer would come after its deadline'],
  ['wait', 'refused because it would wait longer than it accepts'],
  ['priority', 'refused to leave room for more urgent requests'],
  ['fair-share', 'refused because its workspace has had its fair share of the service'],
])('explains why admission refused a request: %s', (refusedFor, reasonText) => {
  const fields = {...lost, workspace: 'w', rank: '1/2', acceptedWaitMs: 40, refusedFor};
  const [explanation] = explainRequest(line('request', 100, fields), 'r-1');
  expect(explanation?.decision).toContain(
    `admission: workspace w, rank 1/2, a wait of 40 ms accepted; ${reasonText}`,
  );
});

const refused = {
  ...lost,
  fingerprint: 'f',
  outcome: 'no-usable-target',
  status: 503,
  tries: [],
  retryAfterMs: 250,
};
const surroundings: ReadonlyArray<readonly [string, string, string]> = [
  [
    'an evacuation',
    line('evacuation', 95, {failureDomain: 'a-1', evacuated: true}),
    'evacuation of a-1 begins',
  ],
  [
    'an outage of the store',
    line('store', 95, {kind: 'targets', connected: false, reason: 'ECONNRESET'}),
    'store does not answer for targets: ECONNRESET',
  ],
  [
    'a configuration',
    line('configuration', 95, {event: 'applied', version: 7}),
    'configuration 7: applied',
  ],
  [
    'a target of the service, when there was no attempt',
    line('target', 95, {event: 'removed', targetId: 'i-5', service: 'orders'}),
    'target i-5: removed',
  ],
  [
    'evidence against the same request',
    [
      line('poison', 99, {event: 'suspected', fingerprint: 'f', targetId: 'i-5'}),
      line('poison', 99, {event: 'suspected', fingerprint: 'other', targetId: 'i-6'}),
    ].join('\n'),
    'a target went down while it ran this request, target i-5',
  ],
  ['a stop', line('stop', 101, {phase: 'leaving'}), 'the gateway stops, phase leaving'],
];

test.each(surroundings)('includes %s near the request', (_name, other, expected) => {
  const [explanation] = explainRequest(`${other}\n${line('request', 100, refused)}`, 'r-1');
  expect(explanation?.surroundings.map(({text}) => text)).toEqual([expected]);
  expect(explanation?.decision[0]).toContain('The caller may come back in 250 ms');
});

test('leaves out events long before the request and at other gateways', () => {
  const log = [
    line('evacuation', 10, {failureDomain: 'a-1', evacuated: true}),
    line('evacuation', 99, {failureDomain: 'a-2', evacuated: true}, 'gateway-2'),
    line('request', 100, refused),
  ].join('\n');
  expect(explainRequest(log, 'r-1')[0]?.surroundings).toEqual([]);
});

test('counts the missing lines near the request', () => {
  const gap = line('request', 99, {
    ...lost,
    requestId: 'other',
    suppressedLines: 30,
    droppedLines: 2,
  });
  const [explanation] = explainRequest(`${gap}\n${line('request', 100, lost)}`, 'r-1');
  expect(explanation?.missingLines).toBe(32);
});

test('explains the request once for each gateway that received it, and skips lines that are not JSON', () => {
  const log = ['(node:1) warning', line('request', 1, lost), line('request', 1, lost, 'gateway-2')];
  const explanations = explainRequest(log.join('\n'), 'r-1');
  expect(explanations.map(({gateway}) => gateway)).toEqual(['gateway-1', 'gateway-2']);
  expect(explainRequest(log.join('\n'), 'unknown')).toEqual([]);
});

/** Guards against a refusal of a key whose cause, a store out of reach, is not named. */
test.each([
  [
    5_012,
    'the last read of the store that confirms the keys, by any gateway, was sent 5012 ms before',
  ],
  [undefined, 'the gateway knew of no read of the store that confirms its keys'],
])('explains a refusal without a lease of age %p', (leaseAgeMs, expected) => {
  const changes = {outcome: 'keys-not-confirmed', status: 503, tries: [], leaseAgeMs};
  const log = [
    line('lease', 99, {state: 'lost', ageMs: 4_903, reason: 'the store does not answer'}),
    line('request', 100, {...lost, ...changes}),
  ].join('\n');
  const [explanation] = explainRequest(log, 'r-1');
  const text = explanation === undefined ? '' : explanationText(explanation);
  expect(text).toContain('5016 keys-not-confirmed: This gateway cannot confirm now');
  expect(text).toContain(expected);
  expect(text).toContain('lease on the keys: lost, age 4903 ms, the store does not answer');
});
