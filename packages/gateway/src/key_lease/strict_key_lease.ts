/**
 * Keeps the lease on the keys: queries other gateways for evidence, reads the store itself when they have none that is fresh
 * enough, and answers the queries of others. Does nothing where revocation has no strict bound or requests need no keys.
 */
import type {JsonObject} from '@cuminsill/utils';
import {countField, numberField, stringField} from '@cuminsill/utils';
import type {MessageFields} from '../peers/coordination_channel';
import type {ConfigurationVersion} from '../store/configuration_view';
import type {ReadConfirmation} from '../store/feed_sink';
import type {StoreEra} from '../store/object_source';
import type {ElapsedClock} from './elapsed_clock';
import type {KeyLease, KeyLeaseStatus} from './key_lease';
import {unlimitedKeyLease} from './key_lease';
import type {EvidenceVerdict} from './lease_evidence';
import {LeaseEvidence} from './lease_evidence';
import {RenewalPace} from './renewal_pace';

/** How a confirmed read ended: `skipped` when nothing can be confirmed before the next list. */
export type ReadResult = 'confirmed' | 'skipped' | 'failed';

/** What became of evidence from the store or another gateway. */
export type EvidenceResult = EvidenceVerdict | 'unreadable';

/** A change of the lease. */
export interface LeaseChange {
  readonly state: 'valid' | 'lost';
  readonly ageMs: number | undefined;
  readonly reason: string;
}

/** What the lease uses of the gateway. */
export interface LeaseEnvironment {
  /** Bound on the revocation of keys; undefined when there is none. */
  boundMs(): number | undefined;
  /** Whether the configuration contains workspaces. */
  requiresKeys(): boolean;
  /** Newest version in the store that the configuration accounts for. */
  accountedVersion(): ConfigurationVersion | undefined;
  /** Whether the store answers the calls for the configuration. */
  isStoreConnected(): boolean;
  /** Number of other gateways that are alive and have the feature. */
  peerCount(): number;
  /** Sends the fields of a query to some of these gateways. */
  sendQuery(fields: MessageFields, receiverCount: number): void;
  /** Makes a confirmed read of the configuration, which is delivered to `confirmation` before `done` is called. */
  read(done: (result: ReadResult) => void): void;
  onEvidence(result: EvidenceResult): void;
  onChange(change: LeaseChange): void;
}

/** Number of gateways that are queried in a round: if a third of them has no usable evidence, one round in 27 fails. */
const queriedGateways = 3;

/** The lease of one gateway. */
export class StrictKeyLease implements KeyLease {
  private readonly evidence: LeaseEvidence;
  private readonly pace: RenewalPace;
  /** When each query was sent that may still be answered, by its id. */
  private readonly queryTimes = new Map<string, number>();
  private lastQueryNumber = 0;
  private isReading = false;
  private wasActive = false;
  private loggedState: LeaseChange['state'] | undefined;
  private source = 'store';
  private failureReason = 'no confirmed read yet';

  /** @param idPrefix Random text, so that answers to a former process of this gateway are not taken for own ones. */
  constructor(
    private readonly environment: LeaseEnvironment,
    private readonly clock: ElapsedClock,
    private readonly idPrefix: string,
    random: () => number = Math.random,
  ) {
    this.pace = new RenewalPace(random);
    this.evidence = new LeaseEvidence({
      nowMs: () => clock.nowMs(),
      boundMs: () => environment.boundMs(),
      accountedVersion: () => environment.accountedVersion(),
    });
  }

  readonly confirmation: ReadConfirmation = {
    nowMs: () => this.clock.nowMs(),
    onConfirmed: (sentAtMs, era) => this.onOwnRead(sentAtMs, era),
  };

  isValid(): boolean {
    return this.evidence.isValid();
  }

  retryAfterMs(): number {
    return unlimitedKeyLease.retryAfterMs();
  }

  status(): KeyLeaseStatus {
    if (this.environment.boundMs() === undefined) return {state: 'unlimited'};
    const {held} = this.evidence;
    const state = this.isValid() ? 'valid' : 'lost';
    return {state, ageMs: this.roundedAgeMs(), version: held?.version, era: held?.era};
  }

  /** Renews the evidence if it is time to. To be called about ten times a second. */
  tick(): void {
    const {environment, clock, pace} = this;
    const boundMs = environment.boundMs();
    if (boundMs === undefined || !environment.requiresKeys()) {
      this.wasActive = false;
      return;
    }
    this.reportState();
    const nowMs = clock.nowMs();
    const ageMs = this.evidence.ageMs();
    const isConnected = environment.isStoreConnected();
    if (isConnected && !this.wasActive) pace.restart(nowMs, boundMs, this.gatewayCount());
    this.wasActive = isConnected;
    if (pace.isQueryDue(nowMs, ageMs, boundMs)) {
      pace.queryStarted(nowMs, ageMs, boundMs);
      this.query(nowMs, boundMs);
    }
    if (!isConnected) this.failureReason = 'the store does not answer';
    if (isConnected && !this.isReading && pace.isReadDue(nowMs, ageMs, boundMs)) this.read();
  }

  /** Drops the evidence of the earlier eras of the store. */
  startEra(era: number): void {
    this.evidence.startEra(era);
    this.failureReason = `era ${era} of the store has begun`;
    // All gateways list in the new era, which confirms their keys.
    this.pace.restart(this.clock.nowMs(), this.environment.boundMs() ?? 0, this.gatewayCount());
  }

  /** Returns the answer to a query; undefined without usable evidence. */
  answerQuery(query: JsonObject): MessageFields | undefined {
    const {held} = this.evidence;
    const id = stringField(query, 'id');
    const isLimited = this.environment.boundMs() !== undefined;
    if (held === undefined || id === undefined || !isLimited || !this.isValid()) return undefined;
    const {version, era} = held;
    return {id, version, era, ageMs: Math.ceil(this.evidence.ageMs())};
  }

  /** Takes the answer to a query. Answers to unknown queries are dropped, because they cannot be dated. */
  receiveEvidence(fields: JsonObject, sender: string): void {
    const sentAtMs = this.queryTimes.get(stringField(fields, 'id') ?? '');
    const version = countField(fields, 'version');
    const ageMs = numberField(fields, 'ageMs');
    const era = countField(fields, 'era');
    const isReadable = sentAtMs !== undefined && version !== undefined && (ageMs ?? -1) >= 0;
    if (!isReadable || ageMs === undefined) {
      this.environment.onEvidence('unreadable');
      return;
    }
    const result = this.offer({version, era}, sentAtMs - ageMs, sender);
    if (result === 'later-version' || this.isLaterEra(era)) this.pace.requestRead();
  }

  private isLaterEra(era: StoreEra): boolean {
    const ownEra = this.environment.accountedVersion()?.era;
    return era !== undefined && ownEra !== undefined && era > ownEra;
  }

  private onOwnRead(sentAtMs: number, era: StoreEra): void {
    const accounted = this.environment.accountedVersion();
    if (accounted === undefined || accounted.era !== era) {
      this.failureReason =
        'the store contains an earlier configuration that lacks keys of the own one';
      this.environment.onEvidence('other-era');
      return;
    }
    this.offer(accounted, sentAtMs, 'store');
  }

  private offer(version: ConfigurationVersion, readAtMs: number, source: string): EvidenceVerdict {
    const verdict = this.evidence.offer({...version, readAtMs});
    this.environment.onEvidence(verdict);
    if (verdict === 'extended') {
      this.source = source;
      this.failureReason = 'no newer evidence';
      this.pace.renewed(this.gatewayCount());
    }
    return verdict;
  }

  private query(nowMs: number, boundMs: number): void {
    for (const [id, sentAtMs] of this.queryTimes) {
      // The evidence in an answer that comes later has expired.
      if (nowMs - sentAtMs > boundMs) this.queryTimes.delete(id);
    }
    this.lastQueryNumber += 1;
    const id = `${this.idPrefix}-${this.lastQueryNumber}`;
    this.queryTimes.set(id, nowMs);
    this.environment.sendQuery({id}, queriedGateways);
  }

  private read(): void {
    this.isReading = true;
    this.pace.readStarted();
    this.environment.read(result => {
      this.isReading = false;
      const hasFailed = result === 'failed';
      if (hasFailed) this.failureReason = 'a confirmed read of the store has failed';
      const boundMs = this.environment.boundMs() ?? 0;
      this.pace.readEnded(hasFailed, this.clock.nowMs(), boundMs, this.gatewayCount());
    });
  }

  private reportState(): void {
    const state = this.isValid() ? 'valid' : 'lost';
    if (state === this.loggedState) return;
    this.loggedState = state;
    const reason = state === 'valid' ? `confirmed by ${this.source}` : this.failureReason;
    this.environment.onChange({state, ageMs: this.roundedAgeMs(), reason});
  }

  private roundedAgeMs(): number | undefined {
    const ageMs = this.evidence.ageMs();
    return ageMs === Infinity ? undefined : Math.round(ageMs);
  }

  private gatewayCount(): number {
    return this.environment.peerCount() + 1;
  }
}
