/** The bound on the requests to a cold target, over gateways that believe different things of each other. */
import {randomBelow, seededRandom} from '@cuminsill/utils';
import type {ColdTargetOutcome, ColdTargetSchedule} from '../__fixtures__/cold_target_model';
import {coldSenderCount, minColdIntervalMs} from '../src/targets/cold_target_limiter';
import {maxRequestsInSecond, runColdTargetModel} from '../__fixtures__/cold_target_model';

const windowMs = 1_000;
/** When the disturbance of a schedule begins. */
const eventMs = 2_000;
/** Number of the gateways that are cut off in the schedules with a cut. */
const cutCount = 15;

/** Most requests in a second that ends while the target is cold. */
function mostInSecond({sends}: ColdTargetOutcome, coldFromMs = 0): number {
  let first = 0;
  let most = 0;
  sends.forEach(({atMs}, index) => {
    while (atMs - (sends[first]?.atMs ?? 0) >= windowMs) first += 1;
    if (atMs >= coldFromMs) most = Math.max(most, index - first + 1);
  });
  return most;
}

type Events = Omit<ColdTargetSchedule, 'gatewayCount' | 'durationMs'>;

interface BoundCase {
  readonly name: string;
  readonly gatewayCounts?: readonly number[];
  readonly durationMs?: number;
  /** @param spread A number from 0 to 1 for each gateway, which differs between seeds. */
  readonly events: (spread: (gateway: number) => number) => Events;
}

/** What a target with six slots and requests of half a second serves. */
const usualRequestsPerS = 12;
const isOff = (timeMs: number, fromMs: number, forMs: number) =>
  timeMs >= fromMs && timeMs < fromMs + forMs;
const isCutOff = (gateway: number, timeMs: number) => gateway < cutCount && timeMs >= eventMs;
/** Gateways are stopped one after the other; a record is removed at the stop and written at the start. */
const rollIntervalMs = 250;
const rollDownMs = 4_000;
/** A gateway that stops gracefully takes requests for this long after it has removed its record. */
const serveAfterRemovalMs = 2_700;
const isRolled = (gateway: number, timeMs: number) =>
  isOff(timeMs, eventMs + gateway * rollIntervalMs, rollDownMs);
const isStoppedInRoll = (gateway: number, timeMs: number) =>
  isOff(
    timeMs,
    eventMs + serveAfterRemovalMs + gateway * rollIntervalMs,
    rollDownMs - serveAfterRemovalMs,
  );

const cases: readonly BoundCase[] = [
  {name: 'all hear each other', gatewayCounts: [3, 10, 87], events: () => ({})},
  {
    name: 'all lose power at the same moment and start again',
    gatewayCounts: [10, 87, 195],
    events: () => ({isRunning: (_gateway, timeMs) => !isOff(timeMs, eventMs, 550)}),
  },
  {
    name: 'all lose power and start again within half a second of each other',
    events: spread => ({
      isRunning: (gateway, timeMs) => !isOff(timeMs, eventMs, 550 + spread(gateway) * 500),
    }),
  },
  {
    name: 'processes are killed and start again at once, in turn',
    events: spread => ({
      isRunning: (gateway, timeMs) => !isOff(timeMs, eventMs + spread(gateway) * 2_000, 100),
    }),
  },
  {
    name: 'some are cut from the others',
    durationMs: 8_000,
    events: () => ({
      isCut: (from, to, timeMs) => isCutOff(from, timeMs) !== isCutOff(to, timeMs),
    }),
  },
  {
    name: 'some are cut from the others and from each other',
    durationMs: 8_000,
    events: () => ({
      isCut: (from, to, timeMs) => isCutOff(from, timeMs) || isCutOff(to, timeMs),
    }),
  },
  {
    name: 'three parts do not hear each other, nor the store',
    durationMs: 8_000,
    events: () => ({
      isCut: (from, to, timeMs) => timeMs >= eventMs && from % 3 !== to % 3,
      isTurnedAway: (_gateway, timeMs) => timeMs >= eventMs,
    }),
  },
  {
    name: 'some hear nobody and all hear them',
    durationMs: 8_000,
    events: () => ({isCut: (_from, to, timeMs) => isCutOff(to, timeMs)}),
  },
  {
    name: 'some stand still for seconds',
    durationMs: 8_000,
    events: () => ({
      isPaused: (gateway, timeMs) => gateway % 3 === 0 && isOff(timeMs, eventMs, 4_000),
    }),
  },
  {
    name: 'four are stopped each second and register again',
    durationMs: 12_000,
    events: () => ({
      isListed: (gateway, timeMs) => !isRolled(gateway, timeMs),
      isRunning: (gateway, timeMs) => !isStoppedInRoll(gateway, timeMs),
    }),
  },
  {
    name: 'four are stopped each second while the store turns a third away',
    durationMs: 12_000,
    events: () => ({
      isListed: (gateway, timeMs) => !isRolled(gateway, timeMs),
      isRunning: (gateway, timeMs) => !isStoppedInRoll(gateway, timeMs),
      isTurnedAway: (gateway, timeMs) => timeMs >= eventMs && gateway % 3 === 1,
    }),
  },
  {
    name: 'all are stopped, and the store lists them one by one as they start',
    durationMs: 8_000,
    events: spread => ({
      isRunning: (_gateway, timeMs) => !isOff(timeMs, eventMs, 2_000),
      isListed: (gateway, timeMs) => !isOff(timeMs, eventMs, 2_000 + 400 + spread(gateway) * 1_500),
    }),
  },
  {
    name: 'it becomes cold while it is in use',
    gatewayCounts: [10, 87],
    events: () => ({coldFromMs: eventMs, usualRequestsPerS}),
  },
  {
    name: 'the store loses the records of half of them',
    durationMs: 8_000,
    events: spread => ({
      isListed: (gateway, timeMs) =>
        gateway % 2 === 0 || !isOff(timeMs, eventMs, 1_000 + spread(gateway) * 1_000),
    }),
  },
];

/** CI plays one seed; `npm run model:cold` plays 20. */
const seedCount = Number(process.env['SEED_COUNT'] ?? 1);
const seeds = Array.from({length: seedCount}, (_, index) => index + 1);
const runs = cases.flatMap(({name, gatewayCounts = [87], durationMs = 6_000, events}) =>
  gatewayCounts.flatMap(gatewayCount =>
    seeds.map(seed => ({name, gatewayCount, durationMs, events, seed})),
  ),
);

/**
 * Guards against gateways that all take themselves for senders to a cold target, which crashes it: each keeps to its own
 * rate, and all of them together exceed what the target can take.
 */
test.each(runs)(
  'a cold target gets no more than it can take: $name, $gatewayCount gateways, seed $seed',
  ({gatewayCount, durationMs, events, seed}) => {
    const random = seededRandom(seed);
    const spreads = Array.from({length: gatewayCount}, () => randomBelow(random, 1_000) / 1_000);
    const schedule = events(gateway => spreads[gateway] ?? 0);
    const outcome = runColdTargetModel({gatewayCount, durationMs, ...schedule}, seed);
    expect(mostInSecond(outcome, schedule.coldFromMs)).toBeLessThanOrEqual(maxRequestsInSecond);
  },
);

interface UsageCase {
  readonly name: string;
  readonly events: Events;
  /** From when on the requests count. */
  readonly fromMs: number;
  /** Fraction of the senders of a whole fleet that must go on sending at least. */
  readonly minFraction: number;
}

const useGatewayCount = 87;
const useDurationMs = 6_000;
/** Ranks depend on names, so the senders to one target may be hit by more than the average. */
const useCases: readonly UsageCase[] = [
  {name: 'all hear each other', events: {}, fromMs: 0, minFraction: 1},
  {
    name: 'a quarter is down for good',
    events: {isRunning: (gateway, timeMs) => gateway % 4 !== 0 || timeMs < eventMs},
    fromMs: eventMs + windowMs,
    minFraction: 0.5,
  },
  {
    name: 'all hear nobody and do not reach the store',
    events: {
      isCut: (_from, _to, timeMs) => timeMs >= eventMs,
      isTurnedAway: (_gateway, timeMs) => timeMs >= eventMs,
    },
    fromMs: eventMs,
    minFraction: 1,
  },
  {
    name: 'all have lost power and have run again for 1.5 s',
    events: {isRunning: (_gateway, timeMs) => !isOff(timeMs, eventMs, 550)},
    fromMs: eventMs + 550 + 1_500,
    minFraction: 1,
  },
];

/** Guards against a bound that is kept by hardly using the target. */
test.each(useCases)('a cold target is used while $name', ({events, fromMs, minFraction}) => {
  const schedule = {gatewayCount: useGatewayCount, durationMs: useDurationMs, ...events};
  const {sends} = runColdTargetModel(schedule, 1);
  const counted = sends.filter(({atMs}) => atMs >= fromMs).length;
  // In the span a sender sends at least once less than its intervals would allow.
  const intervals = Math.floor((useDurationMs - fromMs) / minColdIntervalMs) - 1;
  const senderCount = coldSenderCount({requestsPerS: maxRequestsInSecond});
  expect(counted).toBeGreaterThanOrEqual(senderCount * intervals * minFraction);
});
