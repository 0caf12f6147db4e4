/**
 * Conversion between domain objects and messages. Every field of a received message is checked; a message part
 * that fails a check converts to undefined.
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

/** Parts of one kind that a message may have; a longer list is cut. */
export const maxReceivedParts = 256;

/** Targets that one suspicion may name. */
export const maxSuspectedTargets = 16;

/** Longest time that a suspicion may last from now; entries use ten minutes. */
const maxSuspicionAheadMs = 900_000;

/** Tolerated difference of wall clocks. A report from further ahead would keep out all later ones. */
const maxClockAheadMs = 5_000;

/** Far above any wall clock in milliseconds, and far enough below the largest safe integer to be incremented. */
const maxIncarnation = 2 ** 50;

const identifierPattern = /^[a-z0-9][a-z0-9.-]{0,63}$/;
const fingerprintPattern = /^[\x21-\x7e]{1,128}$/;
const states: ReadonlySet<string> = new Set<InstanceState>(['starting', 'serving', 'leaving']);
const healths: ReadonlySet<string> = new Set<TargetHealth>(['healthy', 'failing', 'leaving']);
const reachabilities: ReadonlySet<string> = new Set<Reachability>([
  'reachable',
  'suspect',
  'unreachable',
]);

/** Makes a message part from a member. */
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

/** Checks a message part and makes a member from it. */
export function memberFromWire(view: InstanceView | undefined): Member | undefined {
  if (view === undefined) return undefined;
  const callerAddress = addressFrom(view.callerHost, view.callerPort);
  const entryPeerAddress = addressFrom(view.entryPeerHost, view.entryPeerPort);
  const controlPeerAddress = addressFrom(view.controlPeerHost, view.controlPeerPort);
  const ids = [view.instanceId, view.regionId, view.failureDomainId];
  const valid =
    ids.every(id => identifierPattern.test(id)) &&
    states.has(view.state) &&
    reachabilities.has(view.reachability) &&
    view.incarnation <= BigInt(maxIncarnation) &&
    view.configVersion <= BigInt(Number.MAX_SAFE_INTEGER);
  if (!valid || !callerAddress || !entryPeerAddress || !controlPeerAddress) return undefined;
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

/** Makes a message part from a target report. */
export function reportToWire(report: TargetReport): TargetReportMessage {
  return create(TargetReportMessageSchema, {
    targetId: report.targetId,
    health: report.health,
    reportedInFlight: report.reportedInFlight,
    observedAtMs: BigInt(Math.floor(report.observedAtMs)),
  });
}

/** Checks a message part and makes a target report from it. */
export function reportFromWire(
  message: TargetReportMessage,
  nowMs: number,
): TargetReport | undefined {
  const valid =
    identifierPattern.test(message.targetId) &&
    healths.has(message.health) &&
    message.observedAtMs <= BigInt(Math.floor(nowMs + maxClockAheadMs));
  if (!valid) return undefined;
  return {
    targetId: message.targetId,
    health: message.health as TargetHealth,
    reportedInFlight: message.reportedInFlight,
    observedAtMs: Number(message.observedAtMs),
  };
}

/** Makes a message part from a suspicion. */
export function suspicionToWire(suspicion: PoisonSuspicion): PoisonSuspicionMessage {
  return create(PoisonSuspicionMessageSchema, {
    fingerprint: suspicion.fingerprint,
    targetIds: [...suspicion.targetIds],
    untilMs: BigInt(Math.floor(suspicion.untilMs)),
  });
}

/** Checks a message part and makes a suspicion from it. */
export function suspicionFromWire(
  message: PoisonSuspicionMessage,
  nowMs: number,
): PoisonSuspicion | undefined {
  const valid =
    fingerprintPattern.test(message.fingerprint) &&
    message.targetIds.length >= 1 &&
    message.targetIds.length <= maxSuspectedTargets &&
    message.targetIds.every(id => identifierPattern.test(id)) &&
    message.untilMs <= BigInt(Math.floor(nowMs + maxSuspicionAheadMs));
  if (!valid) return undefined;
  const {fingerprint, targetIds} = message;
  return {fingerprint, targetIds: [...targetIds], untilMs: Number(message.untilMs)};
}

function addressFrom(host: string, port: number): SocketAddress | undefined {
  return isIP(host) !== 0 && port >= 1 && port <= 65_535 ? {host, port} : undefined;
}
