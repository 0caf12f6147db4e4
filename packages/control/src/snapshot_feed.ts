/**
 * Streams snapshots to the local entry process. Each one holds all target reports and suspicions; the configuration
 * and the members are left out if they have not changed since the previous snapshot of the stream. Without changes, a
 * snapshot is still sent about once a second so that the entry process receives the current contact age.
 */
import type {ConfigSync} from '@cuminsill/config_sync';
import type {Membership} from '@cuminsill/membership';
import {memberToWire, reportToWire, suspicionToWire} from '@cuminsill/membership';
import type {Snapshot} from '@cuminsill/protocol';

/** Components and settings that the feed uses. */
export interface SnapshotFeedDependencies {
  readonly membership: Membership;
  readonly configSync: ConfigSync;
  readonly claimShards: number;
  /** Milliseconds since the store or any peer last answered. */
  readonly contactAgeMs: () => number;
}

type SnapshotInit = Partial<Omit<Snapshot, '$typeName' | '$unknown'>>;

const keepAliveIntervalMs = 1000;
/** Changes within this time are sent in one snapshot. */
const batchWindowMs = 20;

/** Produces one snapshot stream for each subscriber. */
export class SnapshotFeed {
  constructor(private readonly dependencies: SnapshotFeedDependencies) {}

  /** Opens a stream of snapshots, which ends when the signal is aborted. */
  async *subscribe(signal: AbortSignal): AsyncIterable<SnapshotInit> {
    const changes = new ChangeNotifier();
    let membersChanged = true;
    let sentConfigVersion = 0;
    const unsubscribers = [
      this.dependencies.configSync.onAdopt(() => changes.notify()),
      this.dependencies.membership.onChange(change => {
        if (change.kind === 'member' || change.kind === 'forgotten') membersChanged = true;
        changes.notify();
      }),
    ];
    signal.addEventListener('abort', () => changes.notify());
    try {
      while (!signal.aborted) {
        const snapshot = this.makeSnapshot(sentConfigVersion, membersChanged);
        sentConfigVersion = this.dependencies.configSync.current().version;
        membersChanged = false;
        yield snapshot;
        await changes.waitForChange(keepAliveIntervalMs);
        await sleep(batchWindowMs);
      }
    } finally {
      for (const unsubscribe of unsubscribers) unsubscribe();
    }
  }

  private makeSnapshot(sentConfigVersion: number, membersChanged: boolean): SnapshotInit {
    const {membership, configSync, claimShards, contactAgeMs} = this.dependencies;
    const configuration = configSync.current();
    const configurationJson =
      configuration.version > sentConfigVersion
        ? new Uint8Array(Buffer.from(JSON.stringify(configuration)))
        : new Uint8Array();
    return {
      configVersion: BigInt(configuration.version),
      configurationJson,
      membersChanged,
      members: membersChanged ? membership.members().map(memberToWire) : [],
      targetReports: membership.targetReports().map(reportToWire),
      suspicions: membership.suspicions().map(suspicionToWire),
      contactAgeMs: BigInt(Math.floor(contactAgeMs())),
      claimShards,
    };
  }
}

/** Wakes one waiter. A change while nobody waits stays pending, so the next wait returns at once. */
class ChangeNotifier {
  private isPending = false;
  private wakeWaiter: (() => void) | undefined;

  notify(): void {
    this.isPending = true;
    this.wakeWaiter?.();
  }

  async waitForChange(timeoutMs: number): Promise<void> {
    if (!this.isPending) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, timeoutMs);
        this.wakeWaiter = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    this.isPending = false;
    this.wakeWaiter = undefined;
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
