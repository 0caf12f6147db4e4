/** What serving a request works with. */
import type {PoisonGuard} from '@cuminsill/steering';
import type {TimeSource} from '@cuminsill/utils';
import type {ConfigurationView} from './configuration_view';
import type {DecisionLog} from './decision_log';
import type {EvacuationView} from './evacuation_view';
import type {GatewayMetrics} from './gateway_metrics';
import type {CurrentSettings} from './gateway_settings';
import type {PathLatency} from './path_latency';
import type {PeerTable} from './peer_table';
import type {RequestWire} from './request_wire';
import type {RetryAllowance} from './retry_allowance';
import type {ServiceSplit} from './service_split';
import type {ServiceTimings} from './service_timing';
import type {TargetConnections} from './target_connections';
import type {TargetDirectory} from './target_directory';

/** The parts of one gateway. */
export interface GatewayParts {
  readonly settings: CurrentSettings;
  readonly wire: RequestWire;
  readonly time: TimeSource;
  readonly configuration: ConfigurationView;
  readonly targets: TargetDirectory;
  readonly evacuations: EvacuationView;
  readonly peers: PeerTable;
  readonly split: ServiceSplit;
  readonly timings: ServiceTimings;
  readonly latency: PathLatency;
  readonly retries: RetryAllowance;
  readonly connections: TargetConnections;
  readonly poison: PoisonGuard;
  readonly log: DecisionLog;
  readonly metrics: GatewayMetrics;
  /** Time since the store answered last, in milliseconds; undefined when it never did. */
  readonly storeAgeMs: () => number | undefined;
}
