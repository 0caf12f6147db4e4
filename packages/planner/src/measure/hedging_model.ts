/**
 * Discrete-event simulation of hedging in one service. Reads arrive as a Poisson process, wait for a free slot of
 * their entry, and run for a service time with a long tail. A slow read may be hedged: a second copy goes to
 * another target with a free slot.
 */
import {HedgeBudget} from '@cuminsill/steering';
import {randomBelow, seededRandom} from '@cuminsill/utils';
import type {RandomSource} from '@cuminsill/utils';
import {EventQueue} from '@cuminsill/utils';

/** Whether a slow attempt is slow because of the target or because of the request. */
export type SlowCause = 'target' | 'request';

/** Parameters of one simulation run. */
export interface HedgingCase {
  readonly targets: number;
  readonly slotsPerTarget: number;
  /** Entries that divide the slots evenly, each with its own queue and budget; none borrows. */
  readonly entries: number;
  /** Fraction of the slots in use without hedging, from 0 to 1. */
  readonly load: number;
  readonly requests: number;
  readonly hedging: boolean;
  readonly slowCause: SlowCause;
  /** True when the slower copy is cancelled and frees its slot as soon as the faster one is answered. */
  readonly cancels: boolean;
  readonly seed: number;
}

/** Results of one run. Percentiles are of the time from arrival to answer. */
export interface HedgingResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly busySlotMs: number;
  readonly hedges: number;
}

const medianServiceMs = 20;
const logServiceTimeSigma = 0.5;
/** One attempt in fifty takes ten times as long, for example because of a garbage collection or a cold page. */
const slowFraction = 0.02;
const slowFactor = 10;
const meanServiceMs =
  medianServiceMs *
  Math.exp((logServiceTimeSigma * logServiceTimeSigma) / 2) *
  (1 + slowFraction * (slowFactor - 1));
const serviceId = 'reads';

interface Entry {
  readonly budget: HedgeBudget;
  /** Free slots that the entry holds, by target. */
  readonly freeSlots: number[];
  readonly waiting: Read[];
  firstWaitingIndex: number;
}

interface Read {
  readonly entry: Entry;
  readonly arrivedAtMs: number;
  /** Service-time factor that applies to all copies when the request itself is slow. */
  readonly requestFactor: number;
  readonly copies: Copy[];
  answered: boolean;
}

interface Copy {
  readonly target: number;
  readonly startedAtMs: number;
  ended: boolean;
}

/** Runs one simulation; the same case always gives the same result. */
export function runHedgingCase(hedgingCase: HedgingCase): HedgingResult {
  return new HedgingModel(hedgingCase).run();
}

class HedgingModel {
  private readonly events = new EventQueue();
  /** Separate random sources, so that arrivals are the same with and without hedging. */
  private readonly arrivalRandom: RandomSource;
  private readonly serviceTimeRandom: RandomSource;
  private readonly targetRandom: RandomSource;
  private readonly entries: readonly Entry[];
  private readonly latenciesMs: number[] = [];
  private busySlotMs = 0;
  private hedges = 0;
  private arrivedCount = 0;

  constructor(private readonly settings: HedgingCase) {
    this.arrivalRandom = seededRandom(settings.seed);
    this.serviceTimeRandom = seededRandom(settings.seed + 1_000);
    this.targetRandom = seededRandom(settings.seed + 2_000);
    this.entries = Array.from({length: settings.entries}, () => ({
      budget: new HedgeBudget(),
      freeSlots: Array<number>(settings.targets).fill(0),
      waiting: [],
      firstWaitingIndex: 0,
    }));
    for (let slot = 0; slot < settings.targets * settings.slotsPerTarget; slot += 1) {
      const entry = this.entries[slot % settings.entries];
      changeFreeSlots(entry, slot % settings.targets, 1);
    }
  }

  run(): HedgingResult {
    this.scheduleArrival();
    this.events.runUntil();
    const sortedLatenciesMs = Float64Array.from(this.latenciesMs).sort();
    const quantileMs = (q: number) =>
      sortedLatenciesMs[Math.ceil(sortedLatenciesMs.length * q) - 1] ?? 0;
    return {
      p50Ms: quantileMs(0.5),
      p99Ms: quantileMs(0.99),
      p999Ms: quantileMs(0.999),
      busySlotMs: this.busySlotMs,
      hedges: this.hedges,
    };
  }

  private scheduleArrival(): void {
    const {targets, slotsPerTarget, load, requests} = this.settings;
    if (this.arrivedCount === requests) return;
    this.arrivedCount += 1;
    const meanGapMs = meanServiceMs / (load * targets * slotsPerTarget);
    const gapMs = -Math.log(1 - this.arrivalRandom.next()) * meanGapMs;
    const entry = this.entries[randomBelow(this.arrivalRandom, this.entries.length)];
    const requestFactor = this.arrivalRandom.next() < slowFraction ? slowFactor : 1;
    this.events.schedule(gapMs, () => {
      if (entry === undefined) return;
      this.startOrQueue({
        entry,
        arrivedAtMs: this.events.nowMs,
        requestFactor,
        copies: [],
        answered: false,
      });
      this.scheduleArrival();
    });
  }

  private startOrQueue(read: Read): void {
    read.entry.budget.recordRead(serviceId);
    const target = this.chooseTarget(read.entry, -1);
    if (target < 0) read.entry.waiting.push(read);
    else this.startFirstCopy(read, target);
  }

  private startFirstCopy(read: Read, target: number): void {
    const copy = this.startCopy(read, target);
    const delayMs = read.entry.budget.hedgeDelayMs(serviceId);
    if (!this.settings.hedging || delayMs === undefined) return;
    this.events.schedule(delayMs, () => {
      if (!copy.ended) this.sendHedge(read, target);
    });
  }

  /** A free slot means that no read is waiting, so a hedge never delays a first copy that has already arrived. */
  private sendHedge(read: Read, usedTarget: number): void {
    const target = this.chooseTarget(read.entry, usedTarget);
    if (target < 0 || !read.entry.budget.tryHedge(serviceId)) return;
    this.hedges += 1;
    this.startCopy(read, target);
  }

  private startCopy(read: Read, target: number): Copy {
    const copy: Copy = {target, startedAtMs: this.events.nowMs, ended: false};
    changeFreeSlots(read.entry, target, -1);
    read.copies.push(copy);
    this.events.schedule(this.serviceMs(read), () => this.finishCopy(read, copy));
    return copy;
  }

  private finishCopy(read: Read, copy: Copy): void {
    if (copy.ended) return;
    if (!read.answered) {
      read.answered = true;
      const first = read.copies[0] ?? copy;
      this.latenciesMs.push(this.events.nowMs - read.arrivedAtMs);
      // For a cancelled first copy this is only a lower bound, but it is still above the 95th percentile.
      read.entry.budget.recordDuration(serviceId, this.events.nowMs - first.startedAtMs);
      if (this.settings.cancels) read.copies.forEach(other => this.endCopy(read, other));
    }
    this.endCopy(read, copy);
  }

  private endCopy({entry}: Read, copy: Copy): void {
    if (copy.ended) return;
    copy.ended = true;
    this.busySlotMs += this.events.nowMs - copy.startedAtMs;
    changeFreeSlots(entry, copy.target, 1);
    const next = entry.waiting[entry.firstWaitingIndex];
    if (next === undefined) return;
    entry.firstWaitingIndex += 1;
    this.startFirstCopy(next, copy.target);
  }

  /** Chooses a random target with a free slot, other than the excluded one; -1 when there is none. */
  private chooseTarget({freeSlots}: Entry, excluded: number): number {
    const usableTargets = [...freeSlots.keys()].filter(
      target => target !== excluded && (freeSlots[target] ?? 0) > 0,
    );
    return usableTargets[randomBelow(this.targetRandom, usableTargets.length)] ?? -1;
  }

  private serviceMs(read: Read): number {
    // Box-Muller transform; 1 - next() keeps the logarithm finite.
    const radius = Math.sqrt(-2 * Math.log(1 - this.serviceTimeRandom.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.serviceTimeRandom.next());
    const targetFactor = this.serviceTimeRandom.next() < slowFraction ? slowFactor : 1;
    const factor = this.settings.slowCause === 'target' ? targetFactor : read.requestFactor;
    return medianServiceMs * Math.exp(logServiceTimeSigma * normal) * factor;
  }
}

function changeFreeSlots(entry: Entry | undefined, target: number, change: number): void {
  if (entry !== undefined) entry.freeSlots[target] = (entry.freeSlots[target] ?? 0) + change;
}
