/** The gateway's right to use the keys of its configuration. */
import type {ReadConfirmation} from '../store/feed_sink';
import type {StoreEra} from '../store/object_source';

/** State of the lease, for the status page, metrics and log lines. */
export interface KeyLeaseStatus {
  /** `unlimited` when keys may be used whatever the age of the evidence. */
  readonly state: 'unlimited' | 'valid' | 'lost';
  /** Time since the last confirmed read was sent, in milliseconds; undefined without evidence. */
  readonly ageMs?: number | undefined;
  /** Version of the configuration that this read has shown. */
  readonly version?: number | undefined;
  readonly era?: StoreEra;
}

/** Tells whether keys may be used. */
export interface KeyLease {
  /** Whether a request with a key may run now. */
  isValid(): boolean;
  /** When a caller may ask again after a refusal, in milliseconds. */
  retryAfterMs(): number;
  status(): KeyLeaseStatus;
  /** Receives the confirmed reads of the configuration. */
  readonly confirmation?: ReadConfirmation;
}

/** Evidence spreads between gateways within about this time after one of them has read the store. */
const retryAfterMs = 500;

/** The lease of a deployment in which the revocation of keys has no strict bound. */
export const unlimitedKeyLease: KeyLease = {
  isValid: () => true,
  retryAfterMs: () => retryAfterMs,
  status: () => ({state: 'unlimited'}),
};
