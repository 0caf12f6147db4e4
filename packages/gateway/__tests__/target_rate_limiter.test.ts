import {ManualTime, randomBelow, seededRandom} from '@cuminsill/utils';
import type {GatewayRecord} from '../src/gateway_types';
import {heartbeatIntervalMs} from '../src/peers/peer_exchange';
import {PeerTable} from '../src/peers/peer_table';
import {TargetRateLimiter} from '../src/targets/target_rate_limiter';

const windowMs = 4_000;
const durationMs = 120_000;
const stepMs = 10;
/** Gateways learn of the limit within this time of each other, each from an answer of its own. */
const maxNamedAfterMs = 400;
/** Difference between the network delays of requests. */
const maxDelayMs = 110;

function gatewayRecord(name: string): GatewayRecord {
  const address = {host: '127.0.0.1', port: 1};
  return {
    name,
    region: 'a',
    failureDomain: 'a-1',
    callerAddress: address,
    peerAddress: address,
  };
}

function allowedInWindow(requestsPerS: number): number {
  return 1.5 * requestsPerS * (windowMs / 1_000) + 5;
}

/** Returns when requests reach the target while every gateway has requests for it all the time. */
function arrivalTimes(gatewayCount: number, requestsPerS: number): readonly number[] {
  const random = seededRandom(gatewayCount);
  const gatewayNames = Array.from({length: gatewayCount}, (_value, index) => `g-${index}`);
  const arrivals = gatewayNames.flatMap(ownName => {
    const limiter = new TargetRateLimiter();
    const namedAtMs = randomBelow(random, maxNamedAfterMs);
    limiter.recordNamed(requestsPerS, namedAtMs);
    const own: number[] = [];
    for (let nowMs = namedAtMs; nowMs < durationMs; nowMs += stepMs) {
      if (!limiter.maySend('t-1', {nowMs, ownName, gatewayNames})) continue;
      limiter.recordSend(nowMs);
      own.push(nowMs + randomBelow(random, maxDelayMs));
    }
    return own;
  });
  return arrivals.sort((a, b) => a - b);
}

function maxInWindow(sortedMs: readonly number[]): number {
  let first = 0;
  let max = 0;
  sortedMs.forEach((atMs, index) => {
    while (atMs - (sortedMs[first] ?? 0) > windowMs) first += 1;
    max = Math.max(max, index - first + 1);
  });
  return max;
}

const cases = [1, 3, 10, 48, 87, 143, 300].flatMap(gatewayCount =>
  [0, 0.5, 1, 3.5, 7.3, 20].map(requestsPerS => ({gatewayCount, requestsPerS})),
);

/**
 * Guards against gateways that keep to a limit one by one and exceed it together, and against a limited target that is not
 * used at all.
 */
test.each(cases)('$gatewayCount gateways share $requestsPerS/s', ({gatewayCount, requestsPerS}) => {
  const arrivals = arrivalTimes(gatewayCount, requestsPerS);
  expect(maxInWindow(arrivals)).toBeLessThanOrEqual(allowedInWindow(requestsPerS));
  const expectedCount = (requestsPerS * durationMs) / 1_000;
  expect(arrivals.length).toBeGreaterThan(expectedCount / 2);
  expect(arrivals.length).toBeLessThanOrEqual(Math.max(expectedCount, 60));
});

/** Requests that reach the target while gateways that have all just started have the list of the store and hear nobody. */
function arrivalsAfterCommonStart(gatewayCount: number, requestsPerS: number): number {
  const names = Array.from({length: gatewayCount}, (_value, index) => `g-${index}`);
  const records = names.map(name => ({name, revision: 1, content: gatewayRecord(name)}));
  const counts = records.map(({name, content}) => {
    const time = new ManualTime(0);
    const peers = new PeerTable(content, time);
    peers.replace({objects: records, revision: 1});
    const limiter = new TargetRateLimiter();
    limiter.recordNamed(requestsPerS, 0);
    let count = 0;
    for (; time.monotonicMs() < heartbeatIntervalMs; time.advance(stepMs)) {
      const gatewayNames = peers.presumedActiveGatewayNames();
      const view = {nowMs: time.monotonicMs(), ownName: name, gatewayNames};
      if (!limiter.maySend('t-1', view)) continue;
      limiter.recordSend(view.nowMs);
      count += 1;
    }
    return count;
  });
  return counts.reduce((sum, count) => sum + count, 0);
}

// Guards against gateways that lose power together and each take the whole rate of a target before they hear each other.
test.each([10, 87])('%i gateways that have just started share a limit', gatewayCount => {
  const requestsPerS = 7;
  const arrivals = arrivalsAfterCommonStart(gatewayCount, requestsPerS);
  expect(arrivals).toBeLessThanOrEqual(allowedInWindow(requestsPerS));
});

interface NamingCase {
  readonly name: string;
  readonly act: (limiter: TargetRateLimiter) => void;
  readonly expected: number | undefined;
}

const namingCases: readonly NamingCase[] = [
  {name: 'named', act: () => undefined, expected: 5},
  {name: 'named anew', act: limiter => limiter.recordNamed(3, 200), expected: 3},
  {
    name: 'not named by the answer to a later request',
    act: limiter => limiter.recordNotNamed(100),
    expected: undefined,
  },
  {
    name: 'not named by an answer that was overtaken',
    act: limiter => limiter.recordNotNamed(99),
    expected: 5,
  },
  {name: 'of a process that has ended', act: limiter => limiter.reset(), expected: undefined},
];

// Guards against a limit that outlives its cause, or that an old answer removes.
test.each(namingCases)('a limit $name', ({act, expected}) => {
  const limiter = new TargetRateLimiter();
  limiter.recordNamed(5, 100);
  act(limiter);
  expect(limiter.requestsPerS).toBe(expected);
});
