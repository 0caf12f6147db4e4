/**
 * The link to the control process of the same instance: one fiber that receives snapshots, one that reports load.
 * While the control process is away, the entry goes on with what it knows.
 */
import {
  memberFromWire,
  reportFromWire,
  reportToWire,
  suspicionFromWire,
  suspicionToWire,
} from '@cuminsill/membership';
import type {Logger} from '@cuminsill/logger';
import type {PeerClients, Snapshot} from '@cuminsill/protocol';
import {SnapshotService} from '@cuminsill/protocol';
import type {PoisonDecisions, SteeringDecisions} from '@cuminsill/steering';
import type {InstanceState, RefusalRecord, TargetReport} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {EntrySettings} from '@cuminsill/validation';
import {ConfigurationSchema, decodeJsonOrThrow} from '@cuminsill/validation';
import {Duration, Effect, Queue} from 'effect';
import type {EntryView} from './entry_view';

/** What the link works with. */
export interface ControlLinkParts {
  readonly settings: EntrySettings;
  readonly clients: PeerClients;
  readonly view: EntryView;
  readonly steering: SteeringDecisions;
  readonly poison: PoisonDecisions;
  readonly logger: Logger;
  readonly time: TimeSource;
  readonly state: () => InstanceState;
  /** Observations of targets since the last call. */
  readonly takeTargetReports: () => readonly TargetReport[];
  readonly recentRefusals: () => readonly RefusalRecord[];
}

const reconnectDelayMs = 250;
const reportIntervalMs = 1000;
/** Reports that are asked for at once are held back this long, so that a burst makes one report. */
const promptReportDelayMs = 20;

/** Receives snapshots and sends reports. */
export class ControlLink {
  private readonly promptReports = Effect.runSync(Queue.sliding<void>(1));
  private lastSnapshotAtMs: number;
  private contactAgeMs = 0;

  constructor(private readonly parts: ControlLinkParts) {
    this.lastSnapshotAtMs = parts.time.monotonicMs();
  }

  /** Receives snapshots until interrupted; reconnects when the stream ends. */
  receive(): Effect.Effect<never> {
    return this.subscribe().pipe(
      Effect.ensuring(Effect.sync(() => this.setConnected(false))),
      Effect.catchAll(() => Effect.void),
      Effect.zipRight(Effect.sleep(Duration.millis(reconnectDelayMs))),
      Effect.forever,
    );
  }

  /** Reports load every second, and soon after `reportSoon`. */
  report(): Effect.Effect<never> {
    const nextReport = Queue.take(this.promptReports).pipe(
      Effect.zipRight(Effect.sleep(Duration.millis(promptReportDelayMs))),
      Effect.timeoutOption(Duration.millis(reportIntervalMs)),
    );
    return this.sendReport().pipe(Effect.zipRight(nextReport), Effect.forever);
  }

  /** Sends one report at once; used for the last state before a stop. */
  sendReport(): Effect.Effect<void> {
    const {settings, clients, steering, poison, view} = this.parts;
    return Effect.tryPromise(() =>
      clients.of(SnapshotService, settings.control).report({
        instanceId: settings.instance.id,
        state: this.parts.state(),
        configVersion: BigInt(view.configuration.version),
        loads: steering.loads().map(load => ({
          ...load,
          answeredTotal: BigInt(load.answeredTotal),
          refusedTotal: BigInt(load.refusedTotal),
        })),
        sites: steering.siteLoads().map(site => ({...site})),
        shares: steering.appliedShares().map(share => ({...share})),
        refusals: this.parts
          .recentRefusals()
          .map(record => ({...record, atMs: BigInt(Math.floor(record.atMs))})),
        suspicions: poison.suspicions().map(suspicionToWire),
        targetReports: this.parts.takeTargetReports().map(reportToWire),
      }),
    ).pipe(Effect.ignore);
  }

  /** Asks for a report before the next second ends. */
  reportSoon(): void {
    Effect.runSync(Queue.offer(this.promptReports, undefined));
  }

  /** Time without contact to the store and to all peers, in milliseconds, as far as this process knows. */
  currentContactAgeMs(): number {
    return this.contactAgeMs + (this.parts.time.monotonicMs() - this.lastSnapshotAtMs);
  }

  private subscribe(): Effect.Effect<void, unknown> {
    const {clients, settings} = this.parts;
    return Effect.tryPromise(async signal => {
      const stream = clients
        .of(SnapshotService, settings.control)
        .subscribe({instanceId: settings.instance.id}, {signal, timeoutMs: 0});
      for await (const snapshot of stream) {
        this.setConnected(true);
        this.adopt(snapshot);
      }
    });
  }

  private adopt(snapshot: Snapshot): void {
    const {view, steering, poison, logger} = this.parts;
    const nowMs = this.parts.time.nowMs();
    this.lastSnapshotAtMs = this.parts.time.monotonicMs();
    this.contactAgeMs = Number(snapshot.contactAgeMs);
    if (snapshot.configurationJson.length > 0) {
      const text = Buffer.from(snapshot.configurationJson).toString('utf8');
      const configuration = decodeJsonOrThrow('configuration', ConfigurationSchema, text);
      if (view.adoptConfiguration(configuration)) {
        steering.updateConfiguration(configuration);
        const change = {
          component: 'configuration',
          state: 'in-force',
          configVersion: configuration.version,
        };
        logger.stateChange('info', change, 'configuration in force');
        this.reportSoon();
      }
    }
    if (snapshot.claimShards > 0) view.claimShards = snapshot.claimShards;
    if (snapshot.membersChanged) {
      const members = snapshot.members.flatMap(wire => memberFromWire(wire) ?? []);
      view.adoptMembers(members);
      steering.updateMembers(members);
    }
    steering.updateReports(
      snapshot.targetReports.flatMap(wire => reportFromWire(wire, nowMs) ?? []),
    );
    poison.mergeSuspicions(
      snapshot.suspicions.flatMap(wire => suspicionFromWire(wire, nowMs) ?? []),
    );
    steering.updateContactAge(this.currentContactAgeMs());
    steering.tick();
  }

  private setConnected(connected: boolean): void {
    const {view, logger} = this.parts;
    if (view.controlConnected === connected) return;
    view.controlConnected = connected;
    const state = connected ? 'connected' : 'disconnected';
    logger.stateChange('info', {component: 'control-link', state}, `control process ${state}`);
  }
}
