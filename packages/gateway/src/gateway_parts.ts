/** The parts of a gateway that handle requests and are shared between its modules. */
import type {TimeSource} from '@cuminsill/utils';
import type {ServiceAdmissions} from './admission';
import type {ConnectionHistory} from './targets/connection_history';
import type {ConfigurationView} from './store/configuration_view';
import type {DecisionLog} from './logs/decision_log';
import type {Defects} from './logs/defects';
import type {Dial} from './targets/dial';
import type {EvacuationView} from './targets/evacuation_view';
import type {KeyLease} from './key_lease';
import type {CoordinationChannel} from './peers/coordination_channel';
import type {Quotas} from './quota';
import type {RegionalShares} from './regional_shares';
import type {GatewayMetrics} from './logs/gateway_metrics';
import type {CurrentSettings} from './gateway_settings';
import type {RoundTripTimes} from './targets/round_trip_times';
import type {BodyMemory} from './memory/body_memory';
import type {PeerTable} from './peers/peer_table';
import type {PendingLosses} from './poison/pending_losses';
import type {PoisonTracker} from './poison/poison_tracker';
import type {RelayPeers} from './forwarding/relay_peers';
import type {RequestWire} from './requests/request_wire';
import type {SenderFleet} from './peers/sender_fleet';
import type {RetryBudget} from './forwarding/retry_budget';
import type {ServiceSelector} from './requests/service_selector';
import type {ServiceTimeEstimators} from './targets/service_time_estimator';
import type {SuspectTargets} from './targets/suspect_targets';
import type {TargetConnections} from './targets/target_connections';
import type {TargetDirectory} from './targets/target_directory';
import type {TargetPaths} from './targets/target_paths';

/** State and services of one gateway. */
export interface GatewayParts {
  readonly settings: CurrentSettings;
  readonly requestWire: RequestWire;
  readonly time: TimeSource;
  readonly configuration: ConfigurationView;
  readonly targets: TargetDirectory;
  readonly evacuations: EvacuationView;
  readonly peers: PeerTable;
  /** Gateways that are ranked as senders to cold targets. */
  readonly senderFleet: SenderFleet;
  readonly serviceSelector: ServiceSelector;
  readonly serviceTimes: ServiceTimeEstimators;
  readonly roundTripTimes: RoundTripTimes;
  readonly regionalShares: RegionalShares;
  readonly retryBudget: RetryBudget;
  readonly dial: Dial;
  readonly connections: TargetConnections;
  readonly paths: TargetPaths;
  readonly suspects: SuspectTargets;
  readonly relays: RelayPeers;
  /** Connections to gateways that relay requests. */
  readonly relayConnections: TargetConnections;
  readonly connectionHistory: ConnectionHistory;
  readonly poison: PoisonTracker;
  readonly pendingLosses: PendingLosses;
  /** Messages between gateways apart from heartbeats. */
  readonly coordination: CoordinationChannel;
  readonly keyLease: KeyLease;
  readonly quotas: Quotas;
  readonly admissions: ServiceAdmissions;
  /** Room for the bodies of requests and answers. */
  readonly bodyMemory: BodyMemory;
  readonly log: DecisionLog;
  readonly defects: Defects;
  readonly metrics: GatewayMetrics;
  /** Time since the last answer of the store, in milliseconds; undefined before the first answer. */
  readonly storeAgeMs: () => number | undefined;
}
