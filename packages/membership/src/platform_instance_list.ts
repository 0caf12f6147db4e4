/** The platform's list of instances, which lags: it adds candidates and confirms leaving, nothing else. */
import type {SocketAddress} from '@cuminsill/types';
import type {MemberTable} from './member_table';
import type {ListedInstance, MembershipOptions} from './options';

/** Answers questions about the list. */
export class PlatformList {
  private listed: readonly ListedInstance[] | undefined;
  private byId: ReadonlyMap<string, boolean> = new Map();

  constructor(
    private readonly options: MembershipOptions,
    private readonly table: MemberTable,
  ) {}

  /** Instance id to whether it is leaving. Made once per list, because lists are long and change rarely. */
  leavingById(): ReadonlyMap<string, boolean> {
    const listed = this.options.listedInstances();
    if (this.listed !== listed) {
      this.listed = listed;
      this.byId = new Map(listed.map(entry => [entry.instance.id, entry.leaving]));
    }
    return this.byId;
  }

  /** Addresses of seed peers and listed instances that are not members yet. */
  unknownAddresses(): readonly SocketAddress[] {
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
