/**
 * The platform's instance list. Because the list lags, it is used only to find candidates for members, to confirm that
 * an instance which does not answer is leaving, and to keep listed instances from being forgotten.
 */
import type {SocketAddress} from '@cuminsill/types';
import type {MemberTable} from './member_table';
import type {ListedInstance, MembershipOptions} from './options';

/** Looks up instances on the platform's instance list. */
export class PlatformInstanceList {
  private lastListed: readonly ListedInstance[] | undefined;
  private cachedLeavingById: ReadonlyMap<string, boolean> = new Map();

  constructor(
    private readonly options: MembershipOptions,
    private readonly table: MemberTable,
  ) {}

  /** Maps the id of each listed instance to whether it is leaving. Cached, because lists are long and change rarely. */
  leavingById(): ReadonlyMap<string, boolean> {
    const listed = this.options.listedInstances();
    if (this.lastListed !== listed) {
      this.lastListed = listed;
      this.cachedLeavingById = new Map(listed.map(entry => [entry.instance.id, entry.leaving]));
    }
    return this.cachedLeavingById;
  }

  /** Control addresses of seed peers and listed instances that are not members yet. */
  candidateAddresses(): readonly SocketAddress[] {
    const self = this.options.self;
    const knownAddresses = new Set(
      this.table.members().map(member => addressKey(member.instance.controlPeerAddress)),
    );
    const listed = this.options
      .listedInstances()
      .filter(({instance, leaving}) => !leaving && this.table.get(instance.id) === undefined)
      .filter(({instance}) => instance.id !== self.id)
      .map(({instance}) => instance.controlPeerAddress);
    const seeds = this.options.seedPeers.filter(seed => !knownAddresses.has(addressKey(seed)));
    return [...seeds, ...listed];
  }
}

function addressKey(address: SocketAddress): string {
  return `${address.host} ${address.port}`;
}
