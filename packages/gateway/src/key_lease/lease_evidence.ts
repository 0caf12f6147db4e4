/** Decides which evidence extends the lease on the keys, and how long the lease lasts. Knows no network. */
import type {ConfigurationVersion} from '../store/configuration_view';
import type {StoreEra} from '../store/object_source';

/** What a confirmed read of the store has shown. */
export interface Evidence extends ConfigurationVersion {
  /** When the read was sent, on the clock of the lease. */
  readonly readAtMs: number;
}

/** What became of a piece of evidence. */
export type EvidenceVerdict =
  | 'extended'
  /** No later than the evidence that is held. */
  | 'not-fresher'
  /** Its read was sent too long ago. */
  | 'expired'
  /** Of an era in which the own configuration has not been compared with the store's. */
  | 'other-era'
  /** Of a later version than the own configuration. */
  | 'later-version';

/** Part of the bound that is left for differences between the rates and the readings of clocks. */
const marginFraction = 0.02;

/** Time after a confirmed read for which keys may be used. */
export function leaseDurationMs(boundMs: number): number {
  return boundMs * (1 - marginFraction);
}

/** What the decision depends on. */
export interface LeaseInputs {
  /** Clock of the lease. */
  nowMs(): number;
  /** Bound on the revocation of keys; undefined when there is none. */
  boundMs(): number | undefined;
  /** Newest version in the store that the own configuration accounts for; undefined when there is none. */
  accountedVersion(): ConfigurationVersion | undefined;
}

/** Holds the latest evidence. */
export class LeaseEvidence {
  private evidence: Evidence | undefined;
  private firstValidEra: StoreEra;

  constructor(private readonly inputs: LeaseInputs) {}

  /** The evidence that is held, whatever its age. */
  get held(): Evidence | undefined {
    return this.evidence;
  }

  /** Time since the read was sent; infinite without evidence. */
  ageMs(): number {
    const {evidence, inputs} = this;
    return evidence === undefined ? Infinity : inputs.nowMs() - evidence.readAtMs;
  }

  /** Whether keys may be used now. */
  isValid(): boolean {
    const boundMs = this.inputs.boundMs();
    return boundMs === undefined || this.ageMs() < leaseDurationMs(boundMs);
  }

  /** Takes evidence if it extends the lease. */
  offer(evidence: Evidence): EvidenceVerdict {
    const verdict = this.judge(evidence);
    if (verdict === 'extended') this.evidence = evidence;
    return verdict;
  }

  /** Drops evidence of earlier eras, and takes none in future. */
  startEra(era: number): void {
    this.firstValidEra = era;
    if (this.isOfEarlierEra(this.evidence)) this.evidence = undefined;
  }

  private judge({version, era, readAtMs}: Evidence): EvidenceVerdict {
    const {inputs, evidence} = this;
    const accounted = inputs.accountedVersion();
    const boundMs = inputs.boundMs() ?? Infinity;
    if (inputs.nowMs() - readAtMs >= leaseDurationMs(boundMs)) return 'expired';
    // An era that is not stated equals no other, since revisions and versions could not be compared.
    if (accounted === undefined || accounted.era !== era) return 'other-era';
    if (this.isOfEarlierEra({era})) return 'other-era';
    if (version > accounted.version) return 'later-version';
    const isFresher = evidence === undefined || readAtMs > evidence.readAtMs;
    return isFresher ? 'extended' : 'not-fresher';
  }

  private isOfEarlierEra(evidence: {readonly era: StoreEra} | undefined): boolean {
    const {firstValidEra} = this;
    return (
      evidence?.era !== undefined && firstValidEra !== undefined && evidence.era < firstValidEra
    );
  }
}
