/**
 * Connection to the control process of the same instance: one fiber receives snapshots, another sends load reports.
 * While the control process is unreachable, the entry continues with the last snapshot.
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

/** Dependencies of the control link. */
export interface ControlLinkDependencies {
  readonly settings: EntrySettings;
  readonly peerClients: PeerClients;
  readonly view: EntryView;
  readonly steering: SteeringDecisions;
  readonly poisonGuard: PoisonDecisions;
  readonly logger: Logger;
  readonly time: TimeSource;
  readonly state: () => InstanceState;
  /** Takes the target reports collected since the last call. */
  readonly takeTargetReports: () => readonly TargetReport[];
  readonly recentRefusals: () => readonly RefusalRecord[];
}

const reconnectDelayMs = 250;
const reportIntervalMs = 1000;
/** Delay before a requested report is sent, so that a burst of requests results in one report. */
const reportCoalescingDelayMs = 20;

/** Receives snapshots from the control process and sends reports to it. */
export class ControlLink {
  private readonly reportRequests = Effect.runSync(Queue.sliding<void>(1));
  private lastSnapshotAtMs: number;
  private contactAgeMs = 0;

  constructor(private readonly deps: ControlLinkDependencies) {
    this.lastSnapshotAtMs = deps.time.monotonicMs();
  }

  /** Receives snapshots until interrupted; reconnects when the stream ends. */
  receiveSnapshots(): Effect.Effect<never> {
    return this.subscribe().pipe(
      Effect.ensuring(Effect.sync(() => this.setConnected(false))),
      Effect.catchAll(() => Effect.void),
      Effect.zipRight(Effect.sleep(Duration.millis(reconnectDelayMs))),
      Effect.forever,
    );
  }

  /** Sends a report every second, and shortly after each call of `reportSoon`. */
  sendReports(): Effect.Effect<never> {
    const nextReport = Queue.take(this.reportRequests).pipe(
      Effect.zipRight(Effect.sleep(Duration.millis(reportCoalescingDelayMs))),
      Effect.timeoutOption(Duration.millis(reportIntervalMs)),
    );
    return this.sendReport().pipe(Effect.zipRight(nextReport), Effect.forever);
  }

  /** Sends one report now, for example the last one before a stop. Errors are ignored. */
  sendReport(): Effect.Effect<void> {
    const {settings, peerClients, steering, poisonGuard, view} = this.deps;
    return Effect.tryPromise(() =>
      peerClients.clientFor(SnapshotService, settings.control).report({
        instanceId: settings.instance.id,
        state: this.deps.state(),
        configVersion: BigInt(view.configuration.version),
        loads: steering.loads().map(load => ({
          ...load,
          answeredTotal: BigInt(load.answeredTotal),
          refusedTotal: BigInt(load.refusedTotal),
        })),
        sites: steering.siteLoads().map(site => ({...site})),
        shares: steering.appliedShares().map(share => ({...share})),
        refusals: this.deps
          .recentRefusals()
          .map(record => ({...record, atMs: BigInt(Math.floor(record.atMs))})),
        suspicions: poisonGuard.suspicions().map(suspicionToWire),
        targetReports: this.deps.takeTargetReports().map(reportToWire),
      }),
    ).pipe(Effect.ignore);
  }

  /** Requests a report without waiting for the interval to end. */
  reportSoon(): void {
    Effect.runSync(Queue.offer(this.reportRequests, undefined));
  }

  /**
   * Milliseconds since the instance last had contact with the store or any peer. The control process reports this age
   * with each snapshot; the time since the last snapshot is added.
   */
  currentContactAgeMs(): number {
    return this.contactAgeMs + (this.deps.time.monotonicMs() - this.lastSnapshotAtMs);
  }

  private subscribe(): Effect.Effect<void, unknown> {
    const {peerClients, settings} = this.deps;
    return Effect.tryPromise(async signal => {
      const stream = peerClients
        .clientFor(SnapshotService, settings.control)
        .subscribe({instanceId: settings.instance.id}, {signal, timeoutMs: 0});
      for await (const snapshot of stream) {
        this.setConnected(true);
        this.adoptSnapshot(snapshot);
      }
    });
  }

  private adoptSnapshot(snapshot: Snapshot): void {
    const {view, steering, poisonGuard, logger} = this.deps;
    const nowMs = this.deps.time.nowMs();
    this.lastSnapshotAtMs = this.deps.time.monotonicMs();
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
    poisonGuard.mergeSuspicions(
      snapshot.suspicions.flatMap(wire => suspicionFromWire(wire, nowMs) ?? []),
    );
    steering.updateContactAge(this.currentContactAgeMs());
    steering.tick();
  }

  private setConnected(connected: boolean): void {
    const {view, logger} = this.deps;
    if (view.controlConnected === connected) return;
    view.controlConnected = connected;
    const state = connected ? 'connected' : 'disconnected';
    logger.stateChange('info', {component: 'control-link', state}, `control process ${state}`);
  }
}
