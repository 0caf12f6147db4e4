/**
 * Converts between domain objects and messages. Every field of a received message is validated; an invalid message
 * part converts to undefined.
 */
import {isIP} from 'node:net';
import type {InstanceView, PoisonSuspicionMessage, TargetReportMessage} from '@cuminsill/protocol';
import {
  InstanceViewSchema,
  PoisonSuspicionMessageSchema,
  TargetReportMessageSchema,
} from '@cuminsill/protocol';
import type {
  InstanceState,
  Member,
  PoisonSuspicion,
  Reachability,
  SocketAddress,
  TargetHealth,
  TargetReport,
} from '@cuminsill/types';
import {create} from '@bufbuild/protobuf';

/** Maximum number of parts of one kind in a received message; further parts are ignored. */
export const maxPartsPerKind = 256;

/** Maximum number of targets in one poison suspicion. */
export const maxTargetsPerSuspicion = 16;

/** Maximum time from now until a poison suspicion ends. Entries set ten minutes. */
const maxSuspicionDurationMs = 900_000;

/** Tolerated clock skew. A report from further in the future would supersede all later reports of its target. */
const maxClockSkewMs = 5_000;

/**
 * Incarnations start at the wall clock in milliseconds. This bound is far above any of these, and far enough below
 * the largest safe integer to be incremented.
 */
const maxIncarnation = 2 ** 50;

const identifierPattern = /^[a-z0-9][a-z0-9.-]{0,63}$/;
const fingerprintPattern = /^[\x21-\x7e]{1,128}$/;
const validStates: ReadonlySet<string> = new Set<InstanceState>(['starting', 'serving', 'leaving']);
const validHealths: ReadonlySet<string> = new Set<TargetHealth>(['healthy', 'failing', 'leaving']);
const validReachabilities: ReadonlySet<string> = new Set<Reachability>([
  'reachable',
  'suspect',
  'unreachable',
]);

/** Converts a member to a message part. */
export function memberToWire(member: Member): InstanceView {
  const {instance} = member;
  return create(InstanceViewSchema, {
    instanceId: instance.id,
    regionId: instance.regionId,
    failureDomainId: instance.failureDomainId,
    callerHost: instance.callerAddress.host,
    callerPort: instance.callerAddress.port,
    entryPeerHost: instance.entryPeerAddress.host,
    entryPeerPort: instance.entryPeerAddress.port,
    controlPeerHost: instance.controlPeerAddress.host,
    controlPeerPort: instance.controlPeerAddress.port,
    state: member.state,
    incarnation: BigInt(member.incarnation),
    reachability: member.reachability,
    configVersion: BigInt(member.configVersion),
  });
}

/** Validates a message part and converts it to a member. */
export function memberFromWire(view: InstanceView | undefined): Member | undefined {
  if (view === undefined) return undefined;
  const callerAddress = parseAddress(view.callerHost, view.callerPort);
  const entryPeerAddress = parseAddress(view.entryPeerHost, view.entryPeerPort);
  const controlPeerAddress = parseAddress(view.controlPeerHost, view.controlPeerPort);
  const ids = [view.instanceId, view.regionId, view.failureDomainId];
  const isValid =
    ids.every(id => identifierPattern.test(id)) &&
    validStates.has(view.state) &&
    validReachabilities.has(view.reachability) &&
    view.incarnation <= BigInt(maxIncarnation) &&
    view.configVersion <= BigInt(Number.MAX_SAFE_INTEGER);
  if (!isValid || !callerAddress || !entryPeerAddress || !controlPeerAddress) return undefined;
  return {
    instance: {
      id: view.instanceId,
      regionId: view.regionId,
      failureDomainId: view.failureDomainId,
      callerAddress,
      entryPeerAddress,
      controlPeerAddress,
    },
    state: view.state as InstanceState,
    reachability: view.reachability as Reachability,
    incarnation: Number(view.incarnation),
    configVersion: Number(view.configVersion),
  };
}

/** Converts a target report to a message part. */
export function reportToWire(report: TargetReport): TargetReportMessage {
  return create(TargetReportMessageSchema, {
    targetId: report.targetId,
    health: report.health,
    reportedInFlight: report.reportedInFlight,
    observedAtMs: BigInt(Math.floor(report.observedAtMs)),
  });
}

/** Validates a message part and converts it to a target report. */
export function reportFromWire(
  message: TargetReportMessage,
  nowMs: number,
): TargetReport | undefined {
  const isValid =
    identifierPattern.test(message.targetId) &&
    validHealths.has(message.health) &&
    message.observedAtMs <= BigInt(Math.floor(nowMs + maxClockSkewMs));
  if (!isValid) return undefined;
  return {
    targetId: message.targetId,
    health: message.health as TargetHealth,
    reportedInFlight: message.reportedInFlight,
    observedAtMs: Number(message.observedAtMs),
  };
}

/** Converts a poison suspicion to a message part. */
export function suspicionToWire(suspicion: PoisonSuspicion): PoisonSuspicionMessage {
  return create(PoisonSuspicionMessageSchema, {
    fingerprint: suspicion.fingerprint,
    targetIds: [...suspicion.targetIds],
    repeatTargetIds: [...suspicion.repeatTargetIds],
    untilMs: BigInt(Math.floor(suspicion.untilMs)),
  });
}

/** Validates a message part and converts it to a poison suspicion. */
export function suspicionFromWire(
  message: PoisonSuspicionMessage,
  nowMs: number,
): PoisonSuspicion | undefined {
  const isValid =
    fingerprintPattern.test(message.fingerprint) &&
    message.targetIds.length >= 1 &&
    message.targetIds.length <= maxTargetsPerSuspicion &&
    message.targetIds.every(id => identifierPattern.test(id)) &&
    message.repeatTargetIds.length <= maxTargetsPerSuspicion &&
    message.repeatTargetIds.every(id => identifierPattern.test(id)) &&
    message.untilMs <= BigInt(Math.floor(nowMs + maxSuspicionDurationMs));
  if (!isValid) return undefined;
  const {fingerprint, targetIds, repeatTargetIds} = message;
  return {
    fingerprint,
    targetIds: [...targetIds],
    repeatTargetIds: [...repeatTargetIds],
    untilMs: Number(message.untilMs),
  };
}

function parseAddress(host: string, port: number): SocketAddress | undefined {
  return isIP(host) !== 0 && port >= 1 && port <= 65_535 ? {host, port} : undefined;
}
