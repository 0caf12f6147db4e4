/**
 * Model of one service in virtual time: reads arrive at random, wait for a free slot of their entry and run for a
 * time with a long tail. A slow read may be sent a second time to another target with a free slot.
 */
import {HedgeBudget} from '@cuminsill/steering';
import {randomBelow, seededRandom} from '@cuminsill/utils';
import type {RandomSource} from '@cuminsill/utils';
import {EventQueue} from '@cuminsill/utils';

/** Whether a slow attempt is slow because of the target or because of the request. */
export type SlowCause = 'target' | 'request';

/** One run of the model. */
export interface HedgingCase {
  readonly targets: number;
  readonly slotsPerTarget: number;
  /** Entries that divide the slots evenly, each with its own queue and budget; none borrows. */
  readonly entries: number;
  /** Busy share of the slots without hedging, from 0 to 1. */
  readonly load: number;
  readonly requests: number;
  readonly hedging: boolean;
  readonly slowCause: SlowCause;
  /** True when the slower copy frees its slot as soon as the faster one is answered. */
  readonly cancels: boolean;
  readonly seed: number;
}

/** Figures of one run; durations from arrival to answer in milliseconds. */
export interface HedgingResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly busySlotMs: number;
  readonly hedges: number;
}

const medianServiceMs = 20;
const sigma = 0.5;
/** One attempt in fifty takes ten times as long, for example behind a garbage collection or a cold page. */
const slowShare = 0.02;
const slowFactor = 10;
const meanServiceMs =
  medianServiceMs * Math.exp((sigma * sigma) / 2) * (1 + slowShare * (slowFactor - 1));
const serviceId = 'reads';

interface Entry {
  readonly budget: HedgeBudget;
  /** Free slots that the entry holds, by target. */
  readonly freeSlots: number[];
  readonly waiting: Read[];
  firstWaiting: number;
}

interface Read {
  readonly entry: Entry;
  readonly arrivedAtMs: number;
  /** Factor that all copies share when the request itself is the cause. */
  readonly requestFactor: number;
  readonly copies: Copy[];
  answered: boolean;
}

interface Copy {
  readonly target: number;
  readonly startedAtMs: number;
  ended: boolean;
}

/** Runs one case; the same case always gives the same figures. */
export function runHedgingCase(hedgingCase: HedgingCase): HedgingResult {
  return new HedgingModel(hedgingCase).run();
}

class HedgingModel {
  private readonly events = new EventQueue();
  /** Separate sources, so that arrivals are the same with and without hedging. */
  private readonly arrivals: RandomSource;
  private readonly services: RandomSource;
  private readonly choices: RandomSource;
  private readonly entries: readonly Entry[];
  private readonly durationsMs: number[] = [];
  private busySlotMs = 0;
  private hedges = 0;
  private arrived = 0;

  constructor(private readonly settings: HedgingCase) {
    this.arrivals = seededRandom(settings.seed);
    this.services = seededRandom(settings.seed + 1_000);
    this.choices = seededRandom(settings.seed + 2_000);
    this.entries = Array.from({length: settings.entries}, () => ({
      budget: new HedgeBudget(),
      freeSlots: Array<number>(settings.targets).fill(0),
      waiting: [],
      firstWaiting: 0,
    }));
    for (let slot = 0; slot < settings.targets * settings.slotsPerTarget; slot += 1) {
      const entry = this.entries[slot % settings.entries];
      changeFree(entry, slot % settings.targets, 1);
    }
  }

  run(): HedgingResult {
    this.scheduleArrival();
    this.events.runUntil();
    const sorted = Float64Array.from(this.durationsMs).sort();
    const quantile = (q: number) => sorted[Math.ceil(sorted.length * q) - 1] ?? 0;
    return {
      p50Ms: quantile(0.5),
      p99Ms: quantile(0.99),
      p999Ms: quantile(0.999),
      busySlotMs: this.busySlotMs,
      hedges: this.hedges,
    };
  }

  private scheduleArrival(): void {
    const {targets, slotsPerTarget, load, requests} = this.settings;
    if (this.arrived === requests) return;
    this.arrived += 1;
    const meanGapMs = meanServiceMs / (load * targets * slotsPerTarget);
    const gapMs = -Math.log(1 - this.arrivals.next()) * meanGapMs;
    const entry = this.entries[randomBelow(this.arrivals, this.entries.length)];
    const requestFactor = this.arrivals.next() < slowShare ? slowFactor : 1;
    this.events.after(gapMs, () => {
      if (entry === undefined) return;
      this.accept({
        entry,
        arrivedAtMs: this.events.nowMs,
        requestFactor,
        copies: [],
        answered: false,
      });
      this.scheduleArrival();
    });
  }

  private accept(read: Read): void {
    read.entry.budget.recordRead(serviceId);
    const target = this.chooseTarget(read.entry, -1);
    if (target < 0) read.entry.waiting.push(read);
    else this.startFirst(read, target);
  }

  private startFirst(read: Read, target: number): void {
    const copy = this.start(read, target);
    const delayMs = read.entry.budget.hedgeDelayMs(serviceId);
    if (!this.settings.hedging || delayMs === undefined) return;
    this.events.after(delayMs, () => {
      if (!copy.ended) this.hedge(read, target);
    });
  }

  /** A free slot means that no read waits, so a hedge never delays a first copy that is here already. */
  private hedge(read: Read, usedTarget: number): void {
    const target = this.chooseTarget(read.entry, usedTarget);
    if (target < 0 || !read.entry.budget.tryHedge(serviceId)) return;
    this.hedges += 1;
    this.start(read, target);
  }

  private start(read: Read, target: number): Copy {
    const copy: Copy = {target, startedAtMs: this.events.nowMs, ended: false};
    changeFree(read.entry, target, -1);
    read.copies.push(copy);
    this.events.after(this.serviceMs(read), () => this.finish(read, copy));
    return copy;
  }

  private finish(read: Read, copy: Copy): void {
    if (copy.ended) return;
    if (!read.answered) {
      read.answered = true;
      const first = read.copies[0] ?? copy;
      this.durationsMs.push(this.events.nowMs - read.arrivedAtMs);
      // The time of a cancelled first copy is a lower bound; it is above the 95th percentile all the same.
      read.entry.budget.recordDuration(serviceId, this.events.nowMs - first.startedAtMs);
      if (this.settings.cancels) read.copies.forEach(other => this.end(read, other));
    }
    this.end(read, copy);
  }

  private end({entry}: Read, copy: Copy): void {
    if (copy.ended) return;
    copy.ended = true;
    this.busySlotMs += this.events.nowMs - copy.startedAtMs;
    changeFree(entry, copy.target, 1);
    const next = entry.waiting[entry.firstWaiting];
    if (next === undefined) return;
    entry.firstWaiting += 1;
    this.startFirst(next, copy.target);
  }

  /** A random target with a free slot, other than the excluded one; -1 when there is none. */
  private chooseTarget({freeSlots}: Entry, excluded: number): number {
    const usable = [...freeSlots.keys()].filter(
      target => target !== excluded && (freeSlots[target] ?? 0) > 0,
    );
    return usable[randomBelow(this.choices, usable.length)] ?? -1;
  }

  private serviceMs(read: Read): number {
    // Box-Muller transform; 1 - next() keeps the logarithm finite.
    const radius = Math.sqrt(-2 * Math.log(1 - this.services.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.services.next());
    const targetFactor = this.services.next() < slowShare ? slowFactor : 1;
    const factor = this.settings.slowCause === 'target' ? targetFactor : read.requestFactor;
    return medianServiceMs * Math.exp(sigma * normal) * factor;
  }
}

function changeFree(entry: Entry | undefined, target: number, change: number): void {
  if (entry !== undefined) entry.freeSlots[target] = (entry.freeSlots[target] ?? 0) + change;
}
