/**
 * Logs which other gateways this one has begun or ceased to count as alive. One line tells all changes since the last
 * one, because hundreds of gateways may start or end together.
 */
import type {DecisionLog} from '../logs/decision_log';
import type {PeerTable} from './peer_table';

/** Keeps a line short when a region starts or ends. */
const maxNamesPerLine = 8;

/** Remembers which gateways counted as alive when the last line was written. */
export class MembershipLog {
  private aliveNames: readonly string[] = [];

  constructor(
    private readonly peers: Pick<PeerTable, 'activeGatewayNames' | 'listedGatewayCount'>,
    private readonly log: Pick<DecisionLog, 'event'>,
  ) {}

  /** Logs the changes since the last call, if there are any. */
  report(): void {
    const names = this.peers.activeGatewayNames();
    // The table returns the same array while nothing has changed.
    if (names === this.aliveNames) return;
    const joined = namesMissingIn(this.aliveNames, names);
    const silent = namesMissingIn(names, this.aliveNames);
    this.aliveNames = names;
    this.log.event('peer', {
      event: 'membership changed',
      aliveGateways: names.length,
      listedGateways: this.peers.listedGatewayCount(),
      joinedCount: joined.length,
      joined: joined.slice(0, maxNamesPerLine),
      silentCount: silent.length,
      silent: silent.slice(0, maxNamesPerLine),
    });
  }
}

function namesMissingIn(list: readonly string[], names: readonly string[]): readonly string[] {
  const known = new Set(list);
  return names.filter(name => !known.has(name));
}
