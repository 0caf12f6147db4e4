/**
 * Reports which requests were refused, failed or late, and why, from the log lines of gateways. Lines are read one by one and
 * only counts are kept, so that logs of any size can be read. Lines are logged at a limited rate: counts are those of the
 * logged requests, and the report tells how many lines are missing.
 */
import {asObject, numberField, parseJson, stringField} from '@cuminsill/utils';
import type {LossKind, LossReason} from './loss_reasons';
import {lossOf} from './loss_reasons';

/** Logged requests and losses of a window of time, a service or a gateway. */
export interface LossCounts {
  readonly requests: number;
  readonly byKind: Readonly<Partial<Record<LossKind, number>>>;
  readonly byReason: Readonly<Partial<Record<LossReason, number>>>;
}

/** Losses of one window of time. */
export interface LossWindow extends LossCounts {
  /** Start of the window, as the logs' clocks show it. */
  readonly from: string;
  /** Number of log lines other than requests, by kind: what else happened. */
  readonly events: Readonly<Record<string, number>>;
}

/** Losses of all logs that were read. */
export interface LossReport {
  readonly total: LossCounts;
  readonly byService: Readonly<Record<string, LossCounts>>;
  readonly byGateway: Readonly<Record<string, LossCounts>>;
  /** Windows with the largest fractions of losses, the worst one first. */
  readonly worstWindows: readonly LossWindow[];
  /** Lines that could not be read, such as the last line of a log that is still written. */
  readonly unreadableLines: number;
  /** Lines that the gateways did not write, because of the rate limit or a slow reader. */
  readonly missingLines: number;
}

const reportedWindows = 10;
/** Windows with fewer logged requests say little. */
const minWindowRequests = 10;

class Counter {
  requests = 0;
  readonly byKind: Partial<Record<LossKind, number>> = {};
  readonly byReason: Partial<Record<LossReason, number>> = {};
  readonly events: Record<string, number> = {};

  get lostFraction(): number {
    const lost = Object.values(this.byKind).reduce((sum, count) => sum + count, 0);
    return lost / Math.max(1, this.requests);
  }

  get counts(): LossCounts {
    return {requests: this.requests, byKind: this.byKind, byReason: this.byReason};
  }
}

/** Collects the losses of one or several logs. */
export class LossCollector {
  private readonly total = new Counter();
  private readonly byService = new Map<string, Counter>();
  private readonly byGateway = new Map<string, Counter>();
  private readonly byWindow = new Map<number, Counter>();
  private unreadableLines = 0;
  private missingLines = 0;

  constructor(private readonly windowMs: number) {}

  /** Adds a line of a log. Text before the line's JSON object is ignored, as some log collectors write it. */
  addLine(text: string): void {
    const start = text.indexOf('{"');
    if (start < 0) return;
    const line = asObject(parseJson(text.slice(start)));
    const timeMs = Date.parse(stringField(line ?? {}, 'time') ?? '');
    if (line === undefined || Number.isNaN(timeMs)) {
      this.unreadableLines += 1;
      return;
    }
    this.missingLines += numberField(line, 'suppressedLines') ?? 0;
    this.missingLines += numberField(line, 'droppedLines') ?? 0;
    const window = counterOf(this.byWindow, Math.floor(timeMs / this.windowMs) * this.windowMs);
    const kind = stringField(line, 'line') ?? 'other';
    if (kind !== 'request') {
      window.events[kind] = (window.events[kind] ?? 0) + 1;
      return;
    }
    const service = stringField(line, 'service') ?? 'none';
    const gateway = stringField(line, 'gateway') ?? 'unknown';
    const counters = [
      this.total,
      window,
      counterOf(this.byService, service),
      counterOf(this.byGateway, gateway),
    ];
    const loss = lossOf(line);
    for (const counter of counters) {
      counter.requests += 1;
      if (loss === undefined) continue;
      counter.byKind[loss.kind] = (counter.byKind[loss.kind] ?? 0) + 1;
      counter.byReason[loss.reason] = (counter.byReason[loss.reason] ?? 0) + 1;
    }
  }

  /** The losses of all lines so far. */
  report(): LossReport {
    return {
      total: this.total.counts,
      byService: countsOf(this.byService),
      byGateway: countsOf(this.byGateway),
      worstWindows: this.worstWindows(),
      unreadableLines: this.unreadableLines,
      missingLines: this.missingLines,
    };
  }

  private worstWindows(): readonly LossWindow[] {
    return [...this.byWindow]
      .filter(([, counter]) => counter.requests >= minWindowRequests && counter.lostFraction > 0)
      .sort(([, left], [, right]) => right.lostFraction - left.lostFraction)
      .slice(0, reportedWindows)
      .map(([fromMs, counter]) => ({
        from: new Date(fromMs).toISOString(),
        ...counter.counts,
        events: counter.events,
      }));
  }
}

function counterOf<Key>(counters: Map<Key, Counter>, key: Key): Counter {
  const known = counters.get(key);
  if (known !== undefined) return known;
  const counter = new Counter();
  counters.set(key, counter);
  return counter;
}

function countsOf(counters: ReadonlyMap<string, Counter>): Readonly<Record<string, LossCounts>> {
  return Object.fromEntries([...counters].map(([name, {counts}]) => [name, counts]));
}
