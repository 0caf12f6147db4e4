/** Interfaces to the platform, implemented by an adapter. */
import type {Effect} from 'effect';
import type {GatewayConfiguration, GatewayRecord, TargetRecord} from './gateway_types';
import type {LookupWire} from './pages/lookup_wire';
import type {ObjectSource, SourceError} from './store/object_source';
import type {RequestWire} from './requests/request_wire';

/** Stores the record through which other gateways find this one. */
export interface GatewayRegistry {
  /** Creates or replaces the record. */
  register(record: GatewayRecord): Effect.Effect<void, SourceError>;
  /** Removes a record; succeeds when it no longer exists. */
  remove(name: string): Effect.Effect<void, SourceError>;
}

/** Everything that a gateway uses of the platform. */
export interface GatewayPorts {
  readonly configurations: ObjectSource<GatewayConfiguration>;
  /** Name of the object that holds the configuration. */
  readonly configurationName: string;
  readonly targets: ObjectSource<TargetRecord>;
  readonly evacuations: ObjectSource<unknown>;
  readonly gateways: ObjectSource<GatewayRecord>;
  readonly registry: GatewayRegistry;
  readonly requestWire: RequestWire;
  readonly lookupWire: LookupWire;
  /** Reports each further call to the store to the observer, with its kind of object and result. */
  observeCalls(observer: (kind: string, result: string) => void): void;
  /**
   * Reports to the observer when the store has come back from an older copy. The store counts its eras; revisions of
   * different eras cannot be compared.
   */
  observeEras(observer: (formerEra: number, era: number) => void): void;
}
