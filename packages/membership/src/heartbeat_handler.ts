/**
 * Content of heartbeats: what a message to a peer carries, and how a received message changes the view. Invalid
 * parts are ignored and counted.
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
import {sampleMembers} from './peer_choice';
import {sendLimitFor} from './update_queue';
import {
  maxReceivedParts,
  memberFromWire,
  memberToWire,
  reportFromWire,
  reportToWire,
  suspicionFromWire,
  suspicionToWire,
} from './wire_checks';

/** The repeated parts of a heartbeat or its reply. */
interface MessageParts {
  readonly updates: InstanceView[];
  readonly targetReports: TargetReportMessage[];
  readonly suspicions: PoisonSuspicionMessage[];
}

/** What the exchange works on. */
export interface MessageExchangeParts {
  readonly table: MemberTable;
  readonly observations: Observations;
  readonly settings: MembershipSettings;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly notify: MembershipListener;
  /** Called when a suspicion that was not known arrives. */
  readonly onNewSuspicion: () => void;
}

/** Clock readings that a message is handled with. */
export interface Now {
  /** Milliseconds since the Unix epoch. */
  readonly wallMs: number;
  readonly monotonicMs: number;
}

/** Makes and takes up messages. */
export class MessageExchange {
  private invalid = 0;

  constructor(private readonly parts: MessageExchangeParts) {}

  /** Messages and message parts ignored because a field was invalid. */
  get invalidParts(): number {
    return this.invalid;
  }

  /** Makes a heartbeat for a peer; the peer is undefined when only its address is known. */
  request(peer: Member | undefined, now: Now): HeartbeatRequest {
    const sender = memberToWire(this.parts.table.self());
    return create(HeartbeatRequestSchema, {sender, ...this.content(peer, now)});
  }

  /** Makes the reply to a heartbeat; the peer is undefined when its heartbeat was invalid. */
  reply(peer: Member | undefined, now: Now): HeartbeatReply {
    const responder = memberToWire(this.parts.table.self());
    const content = peer === undefined ? {} : this.content(peer, now);
    return create(HeartbeatReplySchema, {responder, ...content});
  }

  /** Takes up a received message; returns its sender, or undefined when the sender is invalid. */
  takeUp(
    senderView: InstanceView | undefined,
    content: MessageParts,
    now: Now,
  ): Member | undefined {
    const sender = memberFromWire(senderView);
    const ownId = this.parts.table.self().instance.id;
    if (sender === undefined || sender.instance.id === ownId) {
      this.countInvalid('sender');
      return undefined;
    }
    this.parts.table.merge({...sender, reachability: 'reachable'}, now.monotonicMs);
    for (const view of content.updates.slice(0, maxReceivedParts)) this.takeUpUpdate(view, now);
    for (const message of content.targetReports.slice(0, maxReceivedParts)) {
      this.takeUpReport(message, now);
    }
    for (const message of content.suspicions.slice(0, maxReceivedParts)) {
      this.takeUpSuspicion(message, now);
    }
    return sender;
  }

  /** Keeps a report and tells listeners when it is news. */
  addReport(report: TargetReport, now: Now): void {
    const news = this.parts.observations.addReport(report, now.wallMs);
    if (news) this.parts.notify({kind: 'target-report', report});
  }

  /** Keeps a suspicion, tells listeners when it is news, and asks for an immediate round. */
  addSuspicion(suspicion: PoisonSuspicion, now: Now): void {
    const merged = this.parts.observations.addSuspicion(suspicion, now.wallMs);
    if (merged === undefined) return;
    this.parts.notify({kind: 'suspicion', suspicion: merged});
    this.parts.onNewSuspicion();
  }

  private takeUpUpdate(view: InstanceView, now: Now): void {
    const update = memberFromWire(view);
    if (update === undefined) this.countInvalid('update');
    else this.parts.table.merge(update, now.monotonicMs);
  }

  private takeUpReport(message: TargetReportMessage, now: Now): void {
    const report = reportFromWire(message, now.wallMs);
    if (report === undefined) this.countInvalid('target-report');
    else this.addReport(report, now);
  }

  private takeUpSuspicion(message: PoisonSuspicionMessage, now: Now): void {
    const suspicion = suspicionFromWire(message, now.wallMs);
    if (suspicion === undefined) this.countInvalid('suspicion');
    else this.addSuspicion(suspicion, now);
  }

  private content(peer: Member | undefined, now: Now): MessageParts {
    const {table, observations, settings} = this.parts;
    const sendLimit = sendLimitFor(table.size());
    const otherRegion = peer?.instance.regionId !== table.self().instance.regionId;
    const reports = observations.takeReports(
      settings.maxReportsPerMessage,
      sendLimit,
      otherRegion,
      now.wallMs,
    );
    const suspicions = observations.takeSuspicions(settings.maxSuspicionsPerMessage, sendLimit);
    return {
      updates: this.updatesFor(peer, sendLimit).map(memberToWire),
      targetReports: reports.map(reportToWire),
      suspicions: suspicions.map(suspicionToWire),
    };
  }

  private updatesFor(peer: Member | undefined, sendLimit: number): readonly Member[] {
    const {table, settings, random} = this.parts;
    const peerId = peer?.instance.id;
    const updates = new Map<string, Member>();
    const peerEntry = peerId === undefined ? undefined : table.get(peerId);
    // A peer that is suspected must hear of it in every message, so that it can refute in time.
    if (peerEntry !== undefined && peerEntry.member.reachability !== 'reachable') {
      updates.set(peerEntry.member.instance.id, peerEntry.member);
    }
    const changed = table.updates.take(
      settings.maxUpdatesPerMessage,
      sendLimit,
      id => id !== peerId,
    );
    for (const id of changed) {
      const entry = table.get(id);
      if (entry !== undefined) updates.set(id, entry.member);
    }
    // One more member per message repairs changes whose bounded number of copies missed an instance.
    const extra = peer?.state === 'starting' ? settings.maxMembersToStarting : 1;
    const members = table.members();
    const sampled =
      extra === 1
        ? members.slice(randomBelow(random, members.length)).slice(0, 1)
        : sampleMembers(members, extra, random);
    for (const member of sampled) {
      const id = member.instance.id;
      if (id !== peerId && id !== table.self().instance.id) updates.set(id, member);
    }
    return [...updates.values()];
  }

  private countInvalid(part: string): void {
    this.invalid += 1;
    this.parts.metrics.count('membership.invalid_parts', 1, {part});
  }
}
