/**
 * Plans the faults of a run from its seed: the kind, time, subject, duration and strength of each. Planned operations,
 * such as drains and reloads, are injected in the same way and count as faults here.
 */
import type {RandomSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';

/** Kinds of faults and planned operations. */
export type FaultKind =
  | 'delay-link'
  | 'reset-link'
  | 'cut-link-forward'
  | 'cut-link-back'
  | 'silence-link'
  | 'kill-gateway'
  | 'kill-all-gateways'
  | 'pause-gateway'
  | 'stop-gateway'
  | 'reload-gateway'
  | 'step-clock'
  | 'store-busy'
  | 'store-limits-rate'
  | 'store-resets'
  | 'store-silent'
  | 'store-slow'
  | 'store-loses-answers'
  | 'store-forgets-history'
  | 'crash-target'
  | 'drain-target'
  | 'remove-target'
  | 'reuse-address'
  | 'join-target'
  | 'break-answers'
  | 'limit-target'
  | 'leave-in-answers'
  | 'ask-for-pause'
  | 'configure'
  | 'evacuate';

/** One fault to inject. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Time since the faults of the run began. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Random number from 0 to 1 that selects the subject, such as a gateway, link or target. */
  readonly selector: number;
  /** Random number from 0 to 1 that sets the strength, for example the length of a delay. */
  readonly strength: number;
}

/** Kinds of faults that a run injects, with their relative frequencies. */
export type FaultProfile = Readonly<Partial<Record<FaultKind, number>>>;

const linkFaults: FaultProfile = {
  'delay-link': 3,
  'reset-link': 3,
  'cut-link-forward': 2,
  'cut-link-back': 2,
  'silence-link': 2,
};
const processFaults: FaultProfile = {
  'kill-gateway': 3,
  'kill-all-gateways': 1,
  'pause-gateway': 3,
  'step-clock': 2,
};
const storeFaults: FaultProfile = {
  'store-busy': 2,
  'store-limits-rate': 2,
  'store-resets': 2,
  'store-silent': 2,
  'store-slow': 2,
  'store-loses-answers': 2,
  'store-forgets-history': 2,
};
const targetFaults: FaultProfile = {
  'crash-target': 3,
  'remove-target': 2,
  'reuse-address': 2,
  'break-answers': 5,
};
const limitFaults: FaultProfile = {'limit-target': 4};
const directiveFaults: FaultProfile = {'leave-in-answers': 3, 'ask-for-pause': 4};
const plannedOperations: FaultProfile = {
  'stop-gateway': 3,
  'reload-gateway': 2,
  'drain-target': 3,
  'join-target': 2,
  configure: 4,
  evacuate: 2,
};

/**
 * Fault profiles by name. With `planned`, which has planned operations only, no request may be cut off. With `crashing`, a
 * caller sends requests that crash targets in addition. With `limited`, targets name limits on their requests. With
 * `directed`, they say in their answers that they leave, or ask for pauses.
 */
export const faultProfiles = {
  planned: plannedOperations,
  mixed: {...linkFaults, ...processFaults, ...storeFaults, ...targetFaults, ...plannedOperations},
  links: {...linkFaults, ...plannedOperations},
  processes: {...processFaults, ...targetFaults, ...plannedOperations},
  store: {...storeFaults, ...plannedOperations},
  crashing: {...processFaults, ...targetFaults},
  limited: {...limitFaults, ...plannedOperations},
  directed: {...directiveFaults, ...plannedOperations},
} as const satisfies Readonly<Record<string, FaultProfile>>;

/** Name of a profile. */
export type ProfileName = keyof typeof faultProfiles;

const meanGapMs = 350;
const minFaultMs = 150;
const maxFaultMs = 3_500;
/** Time before the first fault, so that every gateway serves requests by then. */
const startDelayMs = 500;

/** Default profile of a seed; consecutive seeds cycle through all profiles. */
export function profileForSeed(seed: number): ProfileName {
  const names = Object.keys(faultProfiles) as ProfileName[];
  return names[seed % names.length] ?? 'mixed';
}

/** Draws the faults of a run in order of time. They may overlap. */
export function planFaults(
  seed: number,
  durationMs: number,
  profileName: ProfileName,
): readonly PlannedFault[] {
  const random = seededRandom(seed);
  const profile = faultProfiles[profileName];
  const faults: PlannedFault[] = [];
  let atMs = startDelayMs;
  while (atMs < durationMs) {
    faults.push(drawFault(random, profile, atMs));
    atMs += Math.ceil(random.next() * 2 * meanGapMs);
  }
  return faults;
}

function drawFault(random: RandomSource, profile: FaultProfile, atMs: number): PlannedFault {
  const kind = drawKind(random, profile);
  // Squaring makes short faults the most frequent.
  const lengthFraction = random.next() ** 2;
  const durationMs = Math.round(minFaultMs + lengthFraction * (maxFaultMs - minFaultMs));
  return {kind, atMs, durationMs, selector: random.next(), strength: random.next()};
}

function drawKind(random: RandomSource, profile: FaultProfile): FaultKind {
  const entries = Object.entries(profile) as ReadonlyArray<readonly [FaultKind, number]>;
  const totalWeight = entries.reduce((sum, [, weight]) => sum + weight, 0);
  let remainingWeight = random.next() * totalWeight;
  for (const [kind, weight] of entries) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return kind;
  }
  return 'break-answers';
}
