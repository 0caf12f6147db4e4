/**
 * Where things are: regions, failure domains, the links between regions, and the instances of the system
 * that stand between callers and targets.
 */

/** A geographic region. Traffic is steered between regions. */
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

/** What an instance says of itself. Only `serving` instances are named in look-up answers. */
export type InstanceState = 'starting' | 'serving' | 'leaving';

/** One instance: an entry process and a control process on the same machine. */
export interface Instance {
  readonly id: string;
  readonly regionId: string;
  readonly failureDomainId: string;
  /** Where callers reach the entry process. */
  readonly callerAddress: SocketAddress;
  /** Where other entries reach the entry process. */
  readonly entryPeerAddress: SocketAddress;
  /** Where other instances reach the control process. */
  readonly controlPeerAddress: SocketAddress;
}

/** An address prefix of callers and the region that they are close to. */
export interface ClientBlock {
  /** IPv4 or IPv6 prefix in CIDR notation, for example `10.1.0.0/16`. */
  readonly prefix: string;
  readonly regionId: string;
}
