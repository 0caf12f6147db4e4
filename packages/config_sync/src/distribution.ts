/** Hands changes to peers: along a tree through the own region, to watchers, and to acknowledging peers. */
import {create} from '@bufbuild/protobuf';
import type {PushReply, PushRequest} from '@cuminsill/protocol';
import {PushRequestSchema} from '@cuminsill/protocol';
import type {Member} from '@cuminsill/types';
import {Duration, Effect, Either, Option} from 'effect';
import type {ConfigSyncOptions, ConfigSyncSettings} from './options';
import {acknowledgingCandidates, answeringMembers, divide, watchersOf} from './members_by_role';
import type {EncodedChange, SnapshotState} from './snapshot_state';

/** Heads of one group of the tree that are tried; members missed then are found by comparison. */
const maxHeadsTried = 3;

/** Largest sum of changes in one message; more is left to comparison. */
const maxMessageBytes = 1_000_000;

/** Sends changes to peers. */
export class Distribution {
  constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly state: SnapshotState,
  ) {}

  /** Hands changes to all members of the own region. */
  pushToRegion(changesJson: readonly Uint8Array[]): Effect.Effect<void> {
    const {self} = this.options;
    const ids = answeringMembers(this.options.members())
      .filter(member => member.instance.regionId === self.regionId)
      .map(member => member.instance.id)
      .filter(id => id !== self.id);
    return this.pushToGroups(changesJson, ids);
  }

  /** Hands changes to the named members, each of whom passes them on to a part of the others. */
  pushToGroups(
    changesJson: readonly Uint8Array[],
    instanceIds: readonly string[],
  ): Effect.Effect<void> {
    const groups = divide(instanceIds, this.settings.fanOut);
    return Effect.forEach(groups, group => this.pushToGroup(changesJson, group), {
      concurrency: 'unbounded',
      discard: true,
    });
  }

  /** Hands changes to members, who pass them on if they are watchers. */
  pushToEach(changesJson: readonly Uint8Array[], members: readonly Member[]): Effect.Effect<void> {
    const others = members.filter(member => member.instance.id !== this.options.self.id);
    return Effect.forEach(others, member => this.push(member, changesJson, []), {
      concurrency: 'unbounded',
      discard: true,
    });
  }

  /** Sends a peer the changes after the version that it has, as far as they are held. */
  pushMissing(member: Member, peerVersion: number): Effect.Effect<void> {
    const missing = this.state.changesAfter(peerVersion) ?? [];
    if (missing.length === 0) return Effect.void;
    return this.send(member, withinMessage(missing), this.watchersNear(member)).pipe(Effect.asVoid);
  }

  /** Hands a version to peers in other failure domains until enough of them hold it; returns whether they do. */
  acknowledge(version: number): Effect.Effect<boolean> {
    const {random, self} = this.options;
    const candidates = [...acknowledgingCandidates(this.options.members(), self, random)];
    const json = (this.state.changesAfter(version - 1) ?? []).slice(0, 1).map(item => item.json);
    let acknowledged = 0;
    const ask = Effect.gen(this, function* () {
      for (;;) {
        const member = candidates.shift();
        if (member === undefined) return;
        const peerVersion = yield* this.push(member, json, this.watchersNear(member));
        if (peerVersion === undefined || peerVersion < version) continue;
        acknowledged += 1;
        return;
      }
    });
    return Effect.all(
      Array.from({length: this.settings.acknowledgingPeers}, () => ask),
      {concurrency: 'unbounded', discard: true},
    ).pipe(
      Effect.timeoutOption(Duration.millis(this.settings.acknowledgeTimeoutMs)),
      Effect.map(() => acknowledged >= this.settings.acknowledgingPeers),
    );
  }

  /** The watchers of a member's region, whom the member tells so that the whole region hears of the changes. */
  private watchersNear(member: Member): readonly string[] {
    const {regionId} = member.instance;
    return watchersOf(this.options.members(), regionId, this.settings.watchersPerRegion)
      .map(watcher => watcher.instance.id)
      .filter(id => id !== member.instance.id && id !== this.options.self.id);
  }

  private pushToGroup(
    changesJson: readonly Uint8Array[],
    group: readonly string[],
  ): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const members = new Map(this.options.members().map(member => [member.instance.id, member]));
      let headsTried = 0;
      for (const [index, id] of group.entries()) {
        const head = members.get(id);
        if (head === undefined) continue;
        const version = yield* this.push(head, changesJson, group.slice(index + 1));
        if (version !== undefined) return;
        headsTried += 1;
        if (headsTried === maxHeadsTried) break;
      }
      this.options.metrics.count('config.push_group_abandoned', 1);
    });
  }

  /** Pushes, and once more what the peer turned out to be missing. Returns the peer's version. */
  private push(
    member: Member,
    changesJson: readonly Uint8Array[],
    forwardTo: readonly string[],
  ): Effect.Effect<number | undefined> {
    return Effect.gen(this, function* () {
      const peerVersion = yield* this.send(member, changesJson, forwardTo);
      if (peerVersion === undefined || peerVersion >= this.state.version()) return peerVersion;
      const missing = this.state.changesAfter(peerVersion);
      if (missing === undefined || missing.length === 0) return peerVersion;
      return yield* this.send(member, withinMessage(missing), []);
    });
  }

  private send(
    member: Member,
    changesJson: readonly Uint8Array[],
    forwardTo: readonly string[],
  ): Effect.Effect<number | undefined> {
    const request: PushRequest = create(PushRequestSchema, {
      changesJson: [...changesJson],
      forwardToInstanceIds: [...forwardTo],
    });
    return this.options.transport.push(member.instance, request).pipe(
      Effect.timeoutOption(Duration.millis(this.settings.peerTimeoutMs)),
      Effect.either,
      Effect.map(result =>
        Either.isLeft(result) ? undefined : Option.getOrUndefined(result.right),
      ),
      Effect.map((reply: PushReply | undefined) =>
        reply === undefined ? undefined : Number(reply.configVersion),
      ),
    );
  }
}

/** The first changes whose sum fits into one message; at least one. */
export function withinMessage(changes: readonly EncodedChange[]): readonly Uint8Array[] {
  const chosen: Uint8Array[] = [];
  let bytes = 0;
  for (const {json} of changes) {
    bytes += json.byteLength;
    if (chosen.length > 0 && bytes > maxMessageBytes) break;
    chosen.push(json);
  }
  return chosen;
}
