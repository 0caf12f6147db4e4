/**
 * Model of a request that takes down each target that runs it. Its callers send it again and again to changing
 * entries; entries tell each other what they suspect after a delay. Virtual time.
 */
import {PoisonGuard} from '@cuminsill/steering';
import {ManualTime, randomBelow, seededRandom} from '@cuminsill/utils';
import type {RandomSource} from '@cuminsill/utils';
import {EventQueue} from '@cuminsill/utils';

/** One run of the model. */
export interface PoisonCase {
  readonly entries: number;
  readonly targets: number;
  /** Callers that send the same request at the same time. */
  readonly callers: number;
  /** Time from a suspicion to its arrival at every other entry. */
  readonly gossipDelayMs: number;
  /** Time from an answer to the caller's next attempt. */
  readonly retryIntervalMs: number;
  /** Time that a target runs the request before it stops. */
  readonly crashMs: number;
  /** Time until a lost target serves again. */
  readonly restartMs: number;
  readonly durationMs: number;
  readonly guarded: boolean;
  /** How callers go over the entries. */
  readonly order: 'round-robin' | 'random';
  readonly seed: number;
}

/** Figures of one run. */
export interface PoisonResult {
  /** Losses, counting a target again when it was lost again after a restart. */
  readonly targetsLost: number;
  /** Requests that reached entries. */
  readonly requests: number;
}

/** A refused request takes about a round trip, so callers without an interval do not loop for ever. */
const refusalMs = 2;
const fingerprint = 'poison';

/** Runs one case; the same case always gives the same figures. */
export function runPoisonCase(settings: PoisonCase): PoisonResult {
  return new PoisonModel(settings).run();
}

class PoisonModel {
  private readonly events = new EventQueue();
  private readonly random: RandomSource;
  private readonly clock = new ManualTime(0);
  private readonly guards: readonly PoisonGuard[];
  private readonly lost = new Set<number>();
  private nextEntry = 0;
  private targetsLost = 0;
  private requests = 0;

  constructor(private readonly settings: PoisonCase) {
    this.random = seededRandom(settings.seed);
    this.guards = Array.from({length: settings.entries}, () => new PoisonGuard(this.clock));
  }

  run(): PoisonResult {
    for (let caller = 0; caller < this.settings.callers; caller += 1) {
      this.at(0, () => this.send());
    }
    this.events.runUntil(this.settings.durationMs);
    return {targetsLost: this.targetsLost, requests: this.requests};
  }

  private send(): void {
    const {entries, order} = this.settings;
    const entry = order === 'random' ? randomBelow(this.random, entries) : this.nextEntry;
    this.nextEntry = (entry + 1) % entries;
    this.requests += 1;
    this.attempt(entry, []);
  }

  /** An entry tries again at most once after a lost connection, at another target. */
  private attempt(entry: number, tried: readonly number[]): void {
    const refused =
      this.settings.guarded && this.guards[entry]?.isQuarantined(fingerprint) === true;
    const usable = refused || tried.length === 2 ? [] : this.usableTargets(tried);
    if (usable.length === 0) {
      this.at(this.settings.retryIntervalMs + refusalMs, () => this.send());
      return;
    }
    const target = usable[randomBelow(this.random, usable.length)] ?? 0;
    this.at(this.settings.crashMs, () => {
      this.lose(entry, target);
      this.attempt(entry, [...tried, target]);
    });
  }

  private usableTargets(tried: readonly number[]): readonly number[] {
    return [...Array(this.settings.targets).keys()].filter(
      target => !this.lost.has(target) && !tried.includes(target),
    );
  }

  private lose(entry: number, target: number): void {
    const {gossipDelayMs, restartMs} = this.settings;
    if (!this.lost.has(target)) this.targetsLost += 1;
    this.lost.add(target);
    this.at(restartMs, () => this.lost.delete(target));
    const suspicion = this.guards[entry]?.recordLostTarget(fingerprint, `target-${target}`);
    if (suspicion === undefined) return;
    this.at(gossipDelayMs, () => this.guards.forEach(guard => guard.mergeSuspicions([suspicion])));
  }

  private at(delayMs: number, run: () => void): void {
    this.events.after(delayMs, () => {
      this.clock.advance(this.events.nowMs - this.clock.nowMs());
      run();
    });
  }
}
