/** Pushes changes to peers: along a tree through the own region, to watchers, and to acknowledging peers. */
import {create} from '@bufbuild/protobuf';
import type {PushReply, PushRequest} from '@cuminsill/protocol';
import {PushRequestSchema} from '@cuminsill/protocol';
import type {Member} from '@cuminsill/types';
import {Duration, Effect, Either, Option} from 'effect';
import type {ConfigSyncOptions, ConfigSyncSettings} from './options';
import {
  acknowledgementCandidates,
  possiblyReachableMembers,
  splitEvenly,
  watchersOfRegion,
} from './members_by_role';
import type {ConfigState, EncodedChange} from './config_state';

/** Peers of one group that are tried as its head. If all fail, the group gets the changes by comparison. */
const maxHeadsPerGroup = 3;

/** Maximum total size of the changes in one message. Peers get the remaining changes by comparison. */
const maxMessageBytes = 1_000_000;

/** Pushes changes to peers and collects their acknowledgements. */
export class ChangeDistributor {
  constructor(
    private readonly options: ConfigSyncOptions,
    private readonly settings: ConfigSyncSettings,
    private readonly state: ConfigState,
  ) {}

  /** Pushes changes to all members of the own region. */
  pushToRegion(changesJson: readonly Uint8Array[]): Effect.Effect<void> {
    const {self} = this.options;
    const ids = possiblyReachableMembers(this.options.members())
      .filter(member => member.instance.regionId === self.regionId)
      .map(member => member.instance.id)
      .filter(id => id !== self.id);
    return this.pushThroughTree(changesJson, ids);
  }

  /**
   * Pushes changes along a tree: splits the members into groups and pushes to the head of each group, which forwards
   * to the rest of its group in the same way.
   */
  pushThroughTree(
    changesJson: readonly Uint8Array[],
    instanceIds: readonly string[],
  ): Effect.Effect<void> {
    const groups = splitEvenly(instanceIds, this.settings.treeFanOut);
    return Effect.forEach(groups, groupIds => this.pushToGroup(changesJson, groupIds), {
      concurrency: 'unbounded',
      discard: true,
    });
  }

  /** Pushes changes to each of the members, which forward them to their region if they are watchers. */
  pushToMembers(
    changesJson: readonly Uint8Array[],
    members: readonly Member[],
  ): Effect.Effect<void> {
    const others = members.filter(member => member.instance.id !== this.options.self.id);
    return Effect.forEach(others, member => this.pushAndCatchUp(member, changesJson, []), {
      concurrency: 'unbounded',
      discard: true,
    });
  }

  /** Pushes the changes after `peerVersion` to a peer if the history still holds them. */
  pushMissing(member: Member, peerVersion: number): Effect.Effect<void> {
    const missing = this.state.changesAfter(peerVersion) ?? [];
    if (missing.length === 0) return Effect.void;
    return this.sendPush(
      member,
      changesForOneMessage(missing),
      this.watcherIdsInRegionOf(member),
    ).pipe(Effect.asVoid);
  }

  /**
   * Pushes the change of a version to peers in other failure domains until `acknowledgingPeers` of them have adopted
   * it; returns false when not enough do so in time.
   */
  collectAcknowledgements(version: number): Effect.Effect<boolean> {
    const {random, self} = this.options;
    const candidates = [...acknowledgementCandidates(this.options.members(), self, random)];
    const changesJson = (this.state.changesAfter(version - 1) ?? [])
      .slice(0, 1)
      .map(item => item.json);
    let acknowledgements = 0;
    const collectOne = Effect.gen(this, function* () {
      for (;;) {
        const member = candidates.shift();
        if (member === undefined) return;
        const peerVersion = yield* this.pushAndCatchUp(
          member,
          changesJson,
          this.watcherIdsInRegionOf(member),
        );
        if (peerVersion === undefined || peerVersion < version) continue;
        acknowledgements += 1;
        return;
      }
    });
    return Effect.all(
      Array.from({length: this.settings.acknowledgingPeers}, () => collectOne),
      {concurrency: 'unbounded', discard: true},
    ).pipe(
      Effect.timeoutOption(Duration.millis(this.settings.acknowledgeTimeoutMs)),
      Effect.map(() => acknowledgements >= this.settings.acknowledgingPeers),
    );
  }

  /** Watchers of a member's region. The member forwards the changes to them, and they push to the whole region. */
  private watcherIdsInRegionOf(member: Member): readonly string[] {
    const {regionId} = member.instance;
    return watchersOfRegion(this.options.members(), regionId, this.settings.watchersPerRegion)
      .map(watcher => watcher.instance.id)
      .filter(id => id !== member.instance.id && id !== this.options.self.id);
  }

  private pushToGroup(
    changesJson: readonly Uint8Array[],
    groupIds: readonly string[],
  ): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const members = new Map(this.options.members().map(member => [member.instance.id, member]));
      let headsTried = 0;
      for (const [index, id] of groupIds.entries()) {
        const head = members.get(id);
        if (head === undefined) continue;
        const version = yield* this.pushAndCatchUp(head, changesJson, groupIds.slice(index + 1));
        if (version !== undefined) return;
        headsTried += 1;
        if (headsTried === maxHeadsPerGroup) break;
      }
      this.options.metrics.count('config.push_group_abandoned', 1);
    });
  }

  /**
   * Pushes changes; when the reply shows that the peer is still behind, pushes what it is missing. Returns the peer's
   * version, or undefined when it did not answer.
   */
  private pushAndCatchUp(
    member: Member,
    changesJson: readonly Uint8Array[],
    forwardTo: readonly string[],
  ): Effect.Effect<number | undefined> {
    return Effect.gen(this, function* () {
      const peerVersion = yield* this.sendPush(member, changesJson, forwardTo);
      if (peerVersion === undefined || peerVersion >= this.state.version()) return peerVersion;
      const missing = this.state.changesAfter(peerVersion);
      if (missing === undefined || missing.length === 0) return peerVersion;
      return yield* this.sendPush(member, changesForOneMessage(missing), []);
    });
  }

  private sendPush(
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

/** The first changes whose total size fits into one message; at least one. */
export function changesForOneMessage(changes: readonly EncodedChange[]): readonly Uint8Array[] {
  const chosen: Uint8Array[] = [];
  let bytes = 0;
  for (const {json} of changes) {
    bytes += json.byteLength;
    if (chosen.length > 0 && bytes > maxMessageBytes) break;
    chosen.push(json);
  }
  return chosen;
}
