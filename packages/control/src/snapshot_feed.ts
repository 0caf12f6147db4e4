/**
 * The stream of snapshots to the own entry: the whole state first, then what changed, and at least one message a second so
 * that the entry knows how old its view is.
 */
import type {ConfigSync} from '@cuminsill/config_sync';
import type {Membership} from '@cuminsill/membership';
import {memberToWire, reportToWire, suspicionToWire} from '@cuminsill/membership';
import type {Snapshot} from '@cuminsill/protocol';

/** What the feed works with. */
export interface SnapshotFeedParts {
  readonly membership: Membership;
  readonly configSync: ConfigSync;
  readonly claimShards: number;
  /** Milliseconds since the store or any peer answered. */
  readonly contactAgeMs: () => number;
}

type SnapshotInit = Partial<Omit<Snapshot, '$typeName' | '$unknown'>>;

const keepAliveMs = 1000;
/** Changes that follow each other within this time go out together. */
const gatherMs = 20;

/** Sends snapshots to subscribers. */
export class SnapshotFeed {
  constructor(private readonly parts: SnapshotFeedParts) {}

  /** One subscriber's stream; ends with the signal. */
  async *subscribe(signal: AbortSignal): AsyncIterable<SnapshotInit> {
    const changes = new ChangeSignal();
    let membersChanged = true;
    let sentVersion = 0;
    const stops = [
      this.parts.configSync.onAdopt(() => changes.raise()),
      this.parts.membership.onChange(change => {
        if (change.kind === 'member' || change.kind === 'forgotten') membersChanged = true;
        changes.raise();
      }),
    ];
    signal.addEventListener('abort', () => changes.raise());
    try {
      while (!signal.aborted) {
        const snapshot = this.snapshot(sentVersion, membersChanged);
        sentVersion = this.parts.configSync.current().version;
        membersChanged = false;
        yield snapshot;
        await changes.wait(keepAliveMs);
        await pause(gatherMs);
      }
    } finally {
      for (const stop of stops) stop();
    }
  }

  private snapshot(sentVersion: number, membersChanged: boolean): SnapshotInit {
    const {membership, configSync, claimShards, contactAgeMs} = this.parts;
    const configuration = configSync.current();
    const configurationJson =
      configuration.version > sentVersion
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

/** Wakes one waiter; a change that is raised while nobody waits is not lost. */
class ChangeSignal {
  private raised = false;
  private wake: (() => void) | undefined;

  raise(): void {
    this.raised = true;
    this.wake?.();
  }

  async wait(timeoutMs: number): Promise<void> {
    if (!this.raised) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, timeoutMs);
        this.wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    this.raised = false;
    this.wake = undefined;
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
