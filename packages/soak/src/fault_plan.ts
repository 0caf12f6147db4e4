/** Draws the disruptions of a run from its seed: which, when, on what, for how long and how strong. */
import type {RandomSource} from '@cuminsill/utils';
import {seededRandom} from '@cuminsill/utils';

/** Kinds of disruptions. */
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
  | 'configure'
  | 'evacuate';

/** One disruption. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Picks what is disturbed, from 0 to 1. */
  readonly pick: number;
  /** From 0 to 1. */
  readonly strength: number;
}

/** Which disruptions a run plays, and how likely each is. */
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
const plannedWork: FaultProfile = {
  'stop-gateway': 3,
  'reload-gateway': 2,
  'drain-target': 3,
  'join-target': 2,
  configure: 4,
  evacuate: 2,
};

/** Profiles by name. A run of planned work only is the one in which no request may be cut. */
export const faultProfiles = {
  planned: plannedWork,
  mixed: {...linkFaults, ...processFaults, ...storeFaults, ...targetFaults, ...plannedWork},
  links: {...linkFaults, ...plannedWork},
  processes: {...processFaults, ...targetFaults, ...plannedWork},
  store: {...storeFaults, ...plannedWork},
} as const satisfies Readonly<Record<string, FaultProfile>>;

/** Name of a profile. */
export type ProfileName = keyof typeof faultProfiles;

const meanGapMs = 350;
const shortestFaultMs = 150;
const longestFaultMs = 3_500;
/** Pause before the first disruption, so that every gateway has begun to serve. */
const calmStartMs = 500;

/** Profile of a seed; consecutive seeds play them in turn. */
export function profileOf(seed: number): ProfileName {
  const names = Object.keys(faultProfiles) as ProfileName[];
  return names[seed % names.length] ?? 'mixed';
}

/** Draws the disruptions of a run in order of time. They may overlap. */
export function planFaults(
  seed: number,
  durationMs: number,
  profileName: ProfileName,
): readonly PlannedFault[] {
  const random = seededRandom(seed);
  const profile = faultProfiles[profileName];
  const faults: PlannedFault[] = [];
  let atMs = calmStartMs;
  while (atMs < durationMs) {
    faults.push(drawFault(random, profile, atMs));
    atMs += Math.ceil(random.next() * 2 * meanGapMs);
  }
  return faults;
}

function drawFault(random: RandomSource, profile: FaultProfile, atMs: number): PlannedFault {
  const kind = drawKind(random, profile);
  // Short disruptions are the most frequent.
  const length = random.next() ** 2;
  const forMs = Math.round(shortestFaultMs + length * (longestFaultMs - shortestFaultMs));
  return {kind, atMs, forMs, pick: random.next(), strength: random.next()};
}

function drawKind(random: RandomSource, profile: FaultProfile): FaultKind {
  const entries = Object.entries(profile) as ReadonlyArray<readonly [FaultKind, number]>;
  const total = entries.reduce((sum, [, weight]) => sum + weight, 0);
  let left = random.next() * total;
  for (const [kind, weight] of entries) {
    left -= weight;
    if (left < 0) return kind;
  }
  return 'break-answers';
}
