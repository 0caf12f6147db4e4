/**
 * A fleet of gateways that follow a store in virtual time. Serializable reads are seconds old, answers and datagrams take time or
 * are lost, and gateways are killed, stopped or cut off from the store. Nothing waits and nothing uses the network.
 */
import type {RandomSource} from '@cuminsill/utils';
import {EventQueue, randomBelow, seededRandom} from '@cuminsill/utils';
import {readerRank} from '../src/freshness/reader_rank';
import type {StoreEvidence} from '../src/freshness/store_evidence';
import {encodeEvidence} from '../src/freshness/store_evidence';
import type {BoundedFeed} from '../src/freshness/bounded_feed';
import {StoreFreshness} from '../src/freshness/store_freshness';
import {heartbeatTimeoutMs} from '../src/peers/peer_table';
import type {FeedProgress, StoreRevision} from '../src/store/feed_progress';

/** Parameters of a fleet. */
export interface FreshnessFleetOptions {
  readonly gatewayCount: number;
  readonly domainCount: number;
  readonly boundMs: number;
  /** Serializable reads show a state of up to this age. */
  readonly maxLagMs: number;
  /** A way to the store or to another gateway takes up to this time. */
  readonly maxDelayMs: number;
  readonly datagramLossRate: number;
  /** Fraction of the answers to watches that are lost. */
  readonly watchLossRate: number;
  /** Linearizable reads that fail; without it, none do. */
  readonly readFailures?: ReadFailures;
  /** Linearizable reads of this kind show a state of up to `maxLagMs` as well; lists do not. */
  readonly staleKind?: FleetKind;
  readonly seed: number;
}

/** How linearizable reads of the store fail. */
export interface ReadFailures {
  readonly rate: number;
  /** A gateway's reads of one kind fail no more than this often in a row. */
  readonly maxInRow: number;
  /** A refusal comes as soon as an answer would; for a lost answer the gateway waits until its timeout. */
  readonly how: 'refused' | 'lost';
}

const kinds = ['configurations', 'evacuations', 'targets'] as const;
type FleetKind = (typeof kinds)[number];
const tickMs = 100;
const watchWaitMs = 10_000;
const answerTimeoutMs = 1_000;

interface Change {
  readonly kind: string;
  readonly revision: number;
  readonly acknowledgedAtMs: number;
}

/** The store: one revision for all kinds, and when each change was acknowledged. */
class FleetStore {
  readonly changes: Change[] = [];

  get revision(): number {
    return this.changes.length + 1;
  }

  change(kind: string, nowMs: number): Change {
    const change = {kind, revision: this.revision + 1, acknowledgedAtMs: nowMs};
    this.changes.push(change);
    return change;
  }

  /** The revision of a state of this age. */
  revisionAt(timeMs: number): number {
    const first = this.changes.find(({acknowledgedAtMs}) => acknowledgedAtMs > timeMs);
    return first === undefined ? this.revision : first.revision - 1;
  }

  changedAt(kind: string, upTo: number): number {
    const known = this.changes.filter(change => change.kind === kind && change.revision <= upTo);
    return known.at(-1)?.revision ?? 1;
  }
}

/** A feed of one kind: a watch by serializable reads, and linearizable reads beside it. */
class FleetFeed implements BoundedFeed {
  private revision = 1;
  private confirmedAtMs: number;
  private call = 0;
  private reads = 0;
  private failuresInRow = 0;
  private isListing = false;

  constructor(
    private readonly gateway: FleetGateway,
    readonly kind: string,
  ) {
    this.confirmedAtMs = gateway.fleet.queue.nowMs;
    this.watch(watchWaitMs);
  }

  get linearizableReads(): number {
    return this.reads;
  }

  /** Stays in force while the feed lists. */
  get deliveredRevision(): number {
    return this.revision;
  }

  progress(): FeedProgress | undefined {
    if (this.isListing) return undefined;
    const {revision, confirmedAtMs} = this;
    const changedAtRevision = this.gateway.fleet.store.changedAt(this.kind, revision);
    return {era: 1, revision, changedAtRevision, confirmedAtMs};
  }

  pollNow(): void {
    this.watch(0);
  }

  confirm(reached: StoreRevision | undefined, done: (isConfirmed: boolean) => void): void {
    const {queue, options} = this.gateway.fleet;
    const {maxLagMs, staleKind} = options;
    const sentAtMs = queue.nowMs;
    this.read(this.kind === staleKind ? maxLagMs : 0, revision => {
      const isOld = revision !== undefined && revision < (reached?.revision ?? 0);
      if (isOld) this.list();
      if (revision !== undefined && !isOld) {
        this.confirmUpTo(revision, reached?.readAtMs ?? sentAtMs);
      }
      done(revision !== undefined && !isOld);
    });
  }

  /** Lists until an answer comes. */
  private list(): void {
    this.isListing = true;
    const sentAtMs = this.gateway.fleet.queue.nowMs;
    this.read(0, revision => {
      if (revision === undefined) {
        this.list();
        return;
      }
      this.isListing = false;
      this.confirmUpTo(revision, sentAtMs);
    });
  }

  private confirmUpTo(revision: number, confirmedAtMs: number): void {
    this.revision = Math.max(this.revision, revision);
    this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmedAtMs);
  }

  /** Reads a state of this age; `done` gets its revision, or undefined after a failure. */
  private read(lagMs: number, done: (revision: number | undefined) => void): void {
    const {fleet} = this.gateway;
    this.reads += 1;
    this.gateway.callStore(
      this.nextFailure(),
      () => fleet.store.revisionAt(fleet.queue.nowMs - lagMs),
      done,
      () => done(undefined),
    );
  }

  private nextFailure(): ReadFailures['how'] | undefined {
    const {random, options} = this.gateway.fleet;
    const {readFailures} = options;
    const fails = readFailures !== undefined && random.next() < readFailures.rate;
    this.failuresInRow =
      fails && this.failuresInRow < readFailures.maxInRow ? this.failuresInRow + 1 : 0;
    return this.failuresInRow > 0 ? readFailures?.how : undefined;
  }

  /** Starts a watch in place of the one under way. It ends at a change that it sees, or after the wait. */
  private watch(waitMs: number): void {
    const {fleet} = this.gateway;
    this.call += 1;
    const {call} = this;
    const lagMs = randomBelow(fleet.random, fleet.options.maxLagMs + 1);
    const endMs = fleet.queue.nowMs + waitMs;
    const isLost = fleet.random.next() < fleet.options.watchLossRate;
    const answer = (revision: number) => {
      if (call !== this.call) return;
      this.revision = Math.max(this.revision, revision);
      this.watch(watchWaitMs);
    };
    const check = () => {
      if (call !== this.call || isLost || this.gateway.isCut) return;
      const seen = fleet.store.revisionAt(fleet.queue.nowMs - lagMs);
      const isDue = fleet.queue.nowMs >= endMs;
      if (!isDue && fleet.store.changedAt(this.kind, seen) <= this.revision) {
        fleet.queue.schedule(tickMs, check);
        return;
      }
      fleet.queue.schedule(fleet.nextDelayMs(), () => this.gateway.run(() => answer(seen)));
    };
    fleet.queue.schedule(fleet.nextDelayMs(), check);
    fleet.queue.schedule(waitMs + answerTimeoutMs, () => {
      if (call === this.call) this.gateway.run(() => this.watch(0));
    });
  }
}

/** One gateway. */
export class FleetGateway {
  readonly name: string;
  readonly failureDomain: string;
  readonly feeds: readonly FleetFeed[];
  readonly freshness: StoreFreshness;
  isCut = false;
  isStopped = false;
  /** When it was last killed, stopped or cut off, or came back. */
  disturbedAtMs = -Infinity;
  diedAtMs = Infinity;
  private readonly waiting: Array<() => void> = [];

  constructor(
    readonly fleet: FreshnessFleet,
    number: number,
  ) {
    this.name = `g${number}`;
    this.failureDomain = `d${number % fleet.options.domainCount}`;
    this.feeds = kinds.map(kind => new FleetFeed(this, kind));
    this.freshness = new StoreFreshness(
      {
        ownName: this.name,
        nowMs: () => fleet.queue.nowMs,
        boundMs: () => fleet.options.boundMs,
        feeds: () => this.feeds,
        isStoreAvailable: () => true,
        rank: () => readerRank(this, fleet.gatewaysHeardBy(this)),
        send: evidence => fleet.spread(this, evidence),
        forward: () => undefined,
        onEvidence: () => undefined,
        onBehind: () => undefined,
      },
      0,
    );
  }

  get isDead(): boolean {
    return this.diedAtMs <= this.fleet.queue.nowMs;
  }

  /** Runs at once, or when the gateway is running again. */
  run(action: () => void): void {
    if (this.isDead) return;
    if (this.isStopped) this.waiting.push(action);
    else action();
  }

  kill(): void {
    this.diedAtMs = this.fleet.queue.nowMs;
  }

  stop(durationMs: number): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.fleet.queue.schedule(durationMs, () => {
      this.isStopped = false;
      this.disturbedAtMs = this.fleet.queue.nowMs;
      for (const action of this.waiting.splice(0)) action();
    });
  }

  cut(durationMs: number): void {
    this.isCut = true;
    this.fleet.queue.schedule(durationMs, () => {
      this.isCut = false;
      this.disturbedAtMs = this.fleet.queue.nowMs;
    });
  }

  callStore<Answer>(
    failure: ReadFailures['how'] | undefined,
    read: () => Answer,
    onAnswer: (answer: Answer) => void,
    onFailure: () => void,
  ): void {
    const {fleet} = this;
    if (this.isCut || failure === 'lost') {
      fleet.queue.schedule(answerTimeoutMs, () => this.run(onFailure));
      return;
    }
    fleet.queue.schedule(fleet.nextDelayMs(), () => {
      if (failure === 'refused') {
        fleet.queue.schedule(fleet.nextDelayMs(), () => this.run(onFailure));
        return;
      }
      const answer = read();
      fleet.queue.schedule(fleet.nextDelayMs(), () => this.run(() => onAnswer(answer)));
    });
  }

  /** Whether the bound holds for this gateway: it has run undisturbed for the time of the bound and more. */
  isInTouch(settleMs: number): boolean {
    const isRunning = !this.isDead && !this.isStopped && !this.isCut;
    return isRunning && this.fleet.queue.nowMs - this.disturbedAtMs > settleMs;
  }
}

/** A fleet with its store. */
export class FreshnessFleet {
  readonly queue = new EventQueue();
  readonly random: RandomSource;
  readonly store = new FleetStore();
  readonly gateways: readonly FleetGateway[];
  /** Changes that a gateway did not know when the bound ended. */
  readonly violations: string[] = [];
  /** Gateways that were in touch at the end of a bound. */
  checks = 0;

  constructor(readonly options: FreshnessFleetOptions) {
    this.random = seededRandom(options.seed);
    this.gateways = Array.from(
      {length: options.gatewayCount},
      (_, number) => new FleetGateway(this, number),
    );
    for (const gateway of this.gateways) {
      this.queue.schedule(randomBelow(this.random, tickMs), () => this.tick(gateway));
    }
  }

  get linearizableReads(): number {
    const feeds = this.gateways.flatMap(gateway => gateway.feeds);
    return feeds.reduce((sum, feed) => sum + feed.linearizableReads, 0);
  }

  /** Makes a change and checks all gateways that are in touch at the end of its bound. */
  change(kind: FleetKind, settleMs: number): void {
    const change = this.store.change(kind, this.queue.nowMs);
    this.queue.schedule(this.options.boundMs, () => {
      for (const gateway of this.gateways) {
        if (!gateway.isInTouch(settleMs)) continue;
        this.checks += 1;
        const feed = gateway.feeds.find(({kind}) => kind === change.kind);
        if ((feed?.deliveredRevision ?? 0) < change.revision) {
          this.violations.push(`${gateway.name}, ${change.kind}, at ${this.queue.nowMs} ms`);
        }
      }
    });
  }

  /** A random kind of object. */
  nextKind(): FleetKind {
    return kinds[randomBelow(this.random, kinds.length)] ?? kinds[0];
  }

  /** The gateways that count as alive at another one: the death of one is noticed late. */
  gatewaysHeardBy(gateway: FleetGateway): readonly FleetGateway[] {
    const {nowMs} = this.queue;
    return this.gateways.filter(
      other => other !== gateway && nowMs - other.diedAtMs < heartbeatTimeoutMs,
    );
  }

  /** Sends evidence to all other gateways. */
  spread(sender: FleetGateway, evidence: StoreEvidence): void {
    const fields = encodeEvidence(evidence, this.queue.nowMs);
    for (const receiver of this.gateways) {
      if (receiver === sender || this.random.next() < this.options.datagramLossRate) continue;
      this.queue.schedule(this.nextDelayMs(), () =>
        receiver.run(() => receiver.freshness.receive(fields)),
      );
    }
  }

  nextDelayMs(): number {
    return this.options.maxDelayMs * (0.5 + this.random.next() / 2);
  }

  private tick(gateway: FleetGateway): void {
    if (gateway.isDead) return;
    gateway.run(() => gateway.freshness.tick());
    this.queue.schedule(tickMs, () => this.tick(gateway));
  }
}
