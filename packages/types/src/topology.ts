/**
 * The topology: regions, failure domains, the links between regions, and the instances of the system, which forward
 * requests from callers to targets.
 */

/** A geographic region. Traffic is steered among regions. */
export interface Region {
  readonly id: string;
  readonly name: string;
}

/** A part of a region that can fail as a whole. */
export interface FailureDomain {
  readonly id: string;
  readonly regionId: string;
}

/** The network path between two regions. */
export interface Link {
  readonly fromRegionId: string;
  readonly toRegionId: string;
  /** One-way latency in milliseconds. */
  readonly oneWayLatencyMs: number;
}

/** An IP address and a TCP port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** State that an instance reports about itself. Look-ups return only `serving` instances. */
export type InstanceState = 'starting' | 'serving' | 'leaving';

/** One instance: an entry process and a control process on the same machine. */
export interface Instance {
  readonly id: string;
  readonly regionId: string;
  readonly failureDomainId: string;
  /** Address of the entry process for callers. */
  readonly callerAddress: SocketAddress;
  /** Address of the entry process for other entry processes. */
  readonly entryPeerAddress: SocketAddress;
  /** Address of the control process for other instances. */
  readonly controlPeerAddress: SocketAddress;
}

/** An IP address prefix of callers, with the region closest to them. */
export interface ClientBlock {
  /** IPv4 or IPv6 prefix in CIDR notation, for example `10.1.0.0/16`. */
  readonly prefix: string;
  readonly regionId: string;
}
