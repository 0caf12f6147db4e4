/**
 * Builds heartbeats and their replies, and applies received ones to the member table and the observations. Invalid
 * parts of a message are ignored and counted.
 */
import {create} from '@bufbuild/protobuf';
import type {Metrics} from '@cuminsill/logger';
import type {
  HeartbeatReply,
  HeartbeatRequest,
  InstanceView,
  PoisonSuspicionMessage,
  TargetReportMessage,
} from '@cuminsill/protocol';
import {HeartbeatReplySchema, HeartbeatRequestSchema} from '@cuminsill/protocol';
import type {Member, PoisonSuspicion, TargetReport} from '@cuminsill/types';
import type {RandomSource} from '@cuminsill/utils';
import {randomBelow} from '@cuminsill/utils';
import type {MemberTable} from './member_table';
import type {Observations} from './observations';
import type {MembershipListener, MembershipSettings} from './options';
import {sampleMembers} from './peer_selector';
import {sendLimitFor} from './update_queue';
import {
  maxPartsPerKind,
  memberFromWire,
  memberToWire,
  reportFromWire,
  reportToWire,
  suspicionFromWire,
  suspicionToWire,
} from './wire_conversion';

/** The repeated fields of a heartbeat or its reply. */
interface HeartbeatContent {
  readonly updates: InstanceView[];
  readonly targetReports: TargetReportMessage[];
  readonly suspicions: PoisonSuspicionMessage[];
}

/** Dependencies and settings of a {@link HeartbeatHandler}. */
export interface HeartbeatHandlerOptions {
  readonly table: MemberTable;
  readonly observations: Observations;
  readonly settings: MembershipSettings;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly notify: MembershipListener;
  /** Called when a poison suspicion is added or extended. */
  readonly onNewSuspicion: () => void;
}

/** Readings of both clocks at one moment. */
export interface ClockReadings {
  /** Milliseconds since the Unix epoch. */
  readonly wallMs: number;
  readonly monotonicMs: number;
}

/** Builds and applies heartbeats. */
export class HeartbeatHandler {
  private invalidCount = 0;

  constructor(private readonly options: HeartbeatHandlerOptions) {}

  /** Number of messages and message parts that were ignored because a field was invalid. */
  get invalidParts(): number {
    return this.invalidCount;
  }

  /** Builds a heartbeat to a peer; the peer is undefined when only its address is known. */
  buildRequest(peer: Member | undefined, now: ClockReadings): HeartbeatRequest {
    const sender = memberToWire(this.options.table.self());
    return create(HeartbeatRequestSchema, {sender, ...this.buildContent(peer, now)});
  }

  /** Builds the reply to a heartbeat; the peer is undefined when its heartbeat was invalid. */
  buildReply(peer: Member | undefined, now: ClockReadings): HeartbeatReply {
    const responder = memberToWire(this.options.table.self());
    const content = peer === undefined ? {} : this.buildContent(peer, now);
    return create(HeartbeatReplySchema, {responder, ...content});
  }

  /** Applies a received heartbeat or reply; returns its sender, or undefined when the sender is invalid. */
  applyMessage(
    senderView: InstanceView | undefined,
    content: HeartbeatContent,
    now: ClockReadings,
  ): Member | undefined {
    const sender = memberFromWire(senderView);
    const ownId = this.options.table.self().instance.id;
    if (sender === undefined || sender.instance.id === ownId) {
      this.countInvalid('sender');
      return undefined;
    }
    this.options.table.merge({...sender, reachability: 'reachable'}, now.monotonicMs);
    for (const view of content.updates.slice(0, maxPartsPerKind)) this.applyUpdate(view, now);
    for (const message of content.targetReports.slice(0, maxPartsPerKind)) {
      this.applyReport(message, now);
    }
    for (const message of content.suspicions.slice(0, maxPartsPerKind)) {
      this.applySuspicion(message, now);
    }
    return sender;
  }

  /** Stores a target report and notifies listeners if it is newer than the known one. */
  addReport(report: TargetReport, now: ClockReadings): void {
    const isNew = this.options.observations.addReportIfNewer(report, now.wallMs);
    if (isNew) this.options.notify({kind: 'target-report', report});
  }

  /** Merges a poison suspicion; if it is new, notifies listeners and requests an immediate round of heartbeats. */
  addSuspicion(suspicion: PoisonSuspicion, now: ClockReadings): void {
    const merged = this.options.observations.mergeSuspicion(suspicion, now.wallMs);
    if (merged === undefined) return;
    this.options.notify({kind: 'suspicion', suspicion: merged});
    this.options.onNewSuspicion();
  }

  private applyUpdate(view: InstanceView, now: ClockReadings): void {
    const update = memberFromWire(view);
    if (update === undefined) this.countInvalid('update');
    else this.options.table.merge(update, now.monotonicMs);
  }

  private applyReport(message: TargetReportMessage, now: ClockReadings): void {
    const report = reportFromWire(message, now.wallMs);
    if (report === undefined) this.countInvalid('target-report');
    else this.addReport(report, now);
  }

  private applySuspicion(message: PoisonSuspicionMessage, now: ClockReadings): void {
    const suspicion = suspicionFromWire(message, now.wallMs);
    if (suspicion === undefined) this.countInvalid('suspicion');
    else this.addSuspicion(suspicion, now);
  }

  private buildContent(peer: Member | undefined, now: ClockReadings): HeartbeatContent {
    const {table, observations, settings} = this.options;
    const sendLimit = sendLimitFor(table.size());
    const isOtherRegion = peer?.instance.regionId !== table.self().instance.regionId;
    const reports = observations.takeReports(
      settings.maxReportsPerMessage,
      sendLimit,
      isOtherRegion,
      now.wallMs,
    );
    const suspicions = observations.takeSuspicions(settings.maxSuspicionsPerMessage, sendLimit);
    return {
      updates: this.selectUpdates(peer, sendLimit).map(memberToWire),
      targetReports: reports.map(reportToWire),
      suspicions: suspicions.map(suspicionToWire),
    };
  }

  private selectUpdates(peer: Member | undefined, sendLimit: number): readonly Member[] {
    const {table, settings, random} = this.options;
    const peerId = peer?.instance.id;
    const updates = new Map<string, Member>();
    const peerEntry = peerId === undefined ? undefined : table.get(peerId);
    // A suspected peer must learn of the suspicion from every message, so that it can refute it in time.
    if (peerEntry !== undefined && peerEntry.member.reachability !== 'reachable') {
      updates.set(peerEntry.member.instance.id, peerEntry.member);
    }
    const changedIds = table.updateQueue.take(
      settings.maxUpdatesPerMessage,
      sendLimit,
      id => id !== peerId,
    );
    for (const id of changedIds) {
      const entry = table.get(id);
      if (entry !== undefined) updates.set(id, entry.member);
    }
    // Changes are sent a bounded number of times and may miss an instance; one random member per message repairs that.
    const sampleSize = peer?.state === 'starting' ? settings.maxMembersToStarting : 1;
    const members = table.members();
    const sampled =
      sampleSize === 1
        ? members.slice(randomBelow(random, members.length)).slice(0, 1)
        : sampleMembers(members, sampleSize, random);
    for (const member of sampled) {
      const id = member.instance.id;
      if (id !== peerId && id !== table.self().instance.id) updates.set(id, member);
    }
    return [...updates.values()];
  }

  private countInvalid(part: string): void {
    this.invalidCount += 1;
    this.options.metrics.count('membership.invalid_parts', 1, {part});
  }
}
