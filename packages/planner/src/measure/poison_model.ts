/**
 * Discrete-event simulation of a poison request, which crashes each target that runs it. Callers keep retrying the
 * request at different entries; a suspicion of one entry reaches the other entries after a delay.
 */
import {PoisonGuard} from '@cuminsill/steering';
import {ManualTime, randomBelow, seededRandom} from '@cuminsill/utils';
import type {RandomSource} from '@cuminsill/utils';
import {EventQueue} from '@cuminsill/utils';

/** Parameters of one simulation run. */
export interface PoisonCase {
  readonly entries: number;
  readonly targets: number;
  /** Number of callers that send the same request concurrently. */
  readonly callers: number;
  /** Time from a suspicion to its arrival at every other entry. */
  readonly gossipDelayMs: number;
  /** Time from an answer to the caller's next attempt. */
  readonly retryIntervalMs: number;
  /** Time that a target runs the request before it crashes. */
  readonly crashMs: number;
  /** Time until a crashed target serves again. */
  readonly restartMs: number;
  readonly durationMs: number;
  readonly hasGuard: boolean;
  /** Order in which callers choose entries. */
  readonly entryOrder: 'round-robin' | 'random';
  readonly seed: number;
}

/** Results of one run. */
export interface PoisonResult {
  /** Number of crashes; a target that crashes again after its restart counts again. */
  readonly targetsLost: number;
  /** Number of requests that entries received. */
  readonly requests: number;
}

/** Approximate round-trip time of a refusal, which keeps callers with a retry interval of 0 from looping forever. */
const refusalRoundTripMs = 2;
const fingerprint = 'poison';

/** Runs one simulation; the same case always gives the same result. */
export function runPoisonCase(settings: PoisonCase): PoisonResult {
  return new PoisonModel(settings).run();
}

class PoisonModel {
  private readonly events = new EventQueue();
  private readonly random: RandomSource;
  private readonly clock = new ManualTime(0);
  private readonly guards: readonly PoisonGuard[];
  private readonly lostTargets = new Set<number>();
  private nextEntry = 0;
  private targetsLost = 0;
  private requests = 0;

  constructor(private readonly settings: PoisonCase) {
    this.random = seededRandom(settings.seed);
    this.guards = Array.from({length: settings.entries}, () => new PoisonGuard(this.clock));
  }

  run(): PoisonResult {
    for (let caller = 0; caller < this.settings.callers; caller += 1) {
      this.schedule(0, () => this.sendRequest());
    }
    this.events.runUntil(this.settings.durationMs);
    return {targetsLost: this.targetsLost, requests: this.requests};
  }

  private sendRequest(): void {
    const {entries, entryOrder} = this.settings;
    const entry = entryOrder === 'random' ? randomBelow(this.random, entries) : this.nextEntry;
    this.nextEntry = (entry + 1) % entries;
    this.requests += 1;
    this.attempt(entry, []);
  }

  /** After a lost connection, an entry retries at most once, at another target. */
  private attempt(entry: number, tried: readonly number[]): void {
    const isRefused =
      this.settings.hasGuard && this.guards[entry]?.isQuarantined(fingerprint) === true;
    const usable = isRefused || tried.length === 2 ? [] : this.usableTargets(tried);
    if (usable.length === 0) {
      this.schedule(this.settings.retryIntervalMs + refusalRoundTripMs, () => this.sendRequest());
      return;
    }
    const target = usable[randomBelow(this.random, usable.length)] ?? 0;
    const isRepeat = this.guards[entry]?.isSuspected(fingerprint) === true;
    this.schedule(this.settings.crashMs, () => {
      this.loseTarget(entry, target, isRepeat);
      this.attempt(entry, [...tried, target]);
    });
  }

  private usableTargets(tried: readonly number[]): readonly number[] {
    return [...Array(this.settings.targets).keys()].filter(
      target => !this.lostTargets.has(target) && !tried.includes(target),
    );
  }

  private loseTarget(entry: number, target: number, isRepeat: boolean): void {
    const {gossipDelayMs, restartMs} = this.settings;
    if (!this.lostTargets.has(target)) this.targetsLost += 1;
    this.lostTargets.add(target);
    this.schedule(restartMs, () => this.lostTargets.delete(target));
    const suspicion = this.guards[entry]?.recordLostTarget(
      fingerprint,
      `target-${target}`,
      isRepeat,
    );
    if (suspicion === undefined) return;
    this.schedule(gossipDelayMs, () =>
      this.guards.forEach(guard => guard.mergeSuspicions([suspicion])),
    );
  }

  private schedule(delayMs: number, action: () => void): void {
    this.events.schedule(delayMs, () => {
      this.clock.advance(this.events.nowMs - this.clock.nowMs());
      action();
    });
  }
}
