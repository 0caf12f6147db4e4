/** The parts of a gateway that handle requests and are shared between its modules. */
import type {TimeSource} from '@cuminsill/utils';
import type {ConnectionHistory} from './connection_history';
import type {ConfigurationView} from './configuration_view';
import type {DecisionLog} from './decision_log';
import type {Dial} from './dial';
import type {EvacuationView} from './evacuation_view';
import type {GatewayMetrics} from './gateway_metrics';
import type {CurrentSettings} from './gateway_settings';
import type {RoundTripTimes} from './round_trip_times';
import type {PeerTable} from './peer_table';
import type {PendingLosses} from './pending_losses';
import type {PoisonTracker} from './poison_tracker';
import type {RelayPeers} from './relay_peers';
import type {RequestWire} from './request_wire';
import type {RetryBudget} from './retry_budget';
import type {ServiceSelector} from './service_selector';
import type {ServiceTimeEstimators} from './service_time_estimator';
import type {TargetConnections} from './target_connections';
import type {TargetDirectory} from './target_directory';
import type {TargetPaths} from './target_paths';

/** State and services of one gateway. */
export interface GatewayParts {
  readonly settings: CurrentSettings;
  readonly requestWire: RequestWire;
  readonly time: TimeSource;
  readonly configuration: ConfigurationView;
  readonly targets: TargetDirectory;
  readonly evacuations: EvacuationView;
  readonly peers: PeerTable;
  readonly serviceSelector: ServiceSelector;
  readonly serviceTimes: ServiceTimeEstimators;
  readonly roundTripTimes: RoundTripTimes;
  readonly retryBudget: RetryBudget;
  readonly dial: Dial;
  readonly connections: TargetConnections;
  readonly paths: TargetPaths;
  readonly relays: RelayPeers;
  /** Connections to gateways that relay requests. */
  readonly relayConnections: TargetConnections;
  readonly connectionHistory: ConnectionHistory;
  readonly poison: PoisonTracker;
  readonly pendingLosses: PendingLosses;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Time since the last answer of the store, in milliseconds; undefined before the first answer. */
  readonly storeAgeMs: () => number | undefined;
}
