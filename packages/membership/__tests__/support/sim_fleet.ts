/** A simulated fleet of memberships in virtual time, connected by a network with delays, message loss and cuts. */
import {silentLogger, silentMetrics} from '@cuminsill/logger';
import type {HeartbeatReply, HeartbeatRequest} from '@cuminsill/protocol';
import {PausableClock, VirtualTime} from '@cuminsill/standins';
import type {Instance, Member, SocketAddress} from '@cuminsill/types';
import {seededRandom} from '@cuminsill/utils';
import {Duration, Effect, Exit, Scope} from 'effect';
import {Membership} from '../../src/membership';
import type {ListedInstance, MembershipSettings} from '../../src/options';
import {HeartbeatError} from '../../src/options';

/** Never ends. Effect.never would hold a real timer, which keeps the test process alive. */
const noAnswer: Effect.Effect<never> = Effect.async<never>(() => undefined);

export interface SimFleetOptions {
  readonly instances: number;
  readonly regions: number;
  readonly seed?: number;
  readonly dropRate?: number;
  readonly settings?: Partial<MembershipSettings>;
}

export interface SimInstance {
  readonly instance: Instance;
  readonly membership: Membership;
  readonly clock: PausableClock;
  readonly scope: Scope.CloseableScope;
  alive: boolean;
}

export class SimFleet {
  readonly time = new VirtualTime();
  readonly nodes = new Map<string, SimInstance>();
  listedInstances: readonly ListedInstance[] = [];
  dropRate: number;
  /** True for a pair of instances that cannot exchange messages. */
  isCut: (from: Instance, to: Instance) => boolean = () => false;
  private readonly byHost = new Map<string, SimInstance>();
  private readonly random;
  private startedCount = 0;

  constructor(private readonly options: SimFleetOptions) {
    this.dropRate = options.dropRate ?? 0;
    this.random = seededRandom(options.seed ?? 1);
    for (let index = 0; index < options.instances; index += 1) this.start(this.instanceAt(index));
  }

  instanceAt(index: number): Instance {
    const regionId = `r${index % this.options.regions}`;
    const host = `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`;
    return {
      id: `i-${index}`,
      regionId,
      failureDomainId: `${regionId}-fd${Math.floor(index / this.options.regions) % 2}`,
      callerAddress: {host, port: 7000},
      entryPeerAddress: {host, port: 7001},
      controlPeerAddress: {host, port: 7002},
    };
  }

  /** Starts an instance, or a new process of an instance that was killed. */
  start(instance: Instance): SimInstance {
    this.startedCount += 1;
    const clock = new PausableClock(this.time);
    const scope = Effect.runSync(Scope.make());
    const start = Membership.start({
      self: instance,
      transport: {heartbeat: (to, request) => this.send(instance, to, request)},
      seedPeers: [0, 1, 2].map(index => this.instanceAt(index).controlPeerAddress),
      listedInstances: () => this.listedInstances,
      random: seededRandom(1_000 * (this.options.seed ?? 1) + this.startedCount),
      logger: silentLogger,
      metrics: silentMetrics,
      settings: this.options.settings,
    }).pipe(Scope.extend(scope));
    const fiber = this.time.fork(start, clock);
    const membership = Exit.getOrElse(
      fiber.unsafePoll() ?? Exit.die('the start did not complete'),
      cause => {
        throw new Error(String(cause));
      },
    );
    const node: SimInstance = {instance, membership, clock, scope, alive: true};
    this.nodes.set(instance.id, node);
    this.byHost.set(instance.controlPeerAddress.host, node);
    return node;
  }

  kill(id: string): void {
    const node = this.node(id);
    node.alive = false;
    this.time.fork(Scope.close(node.scope, Exit.void).pipe(Effect.asVoid));
  }

  node(id: string): SimInstance {
    const node = this.nodes.get(id);
    if (node === undefined) throw new Error(`no instance ${id}`);
    return node;
  }

  alive(): readonly SimInstance[] {
    return [...this.nodes.values()].filter(node => node.alive);
  }

  viewOf(observerId: string, memberId: string): Member | undefined {
    return this.node(observerId).membership.member(memberId);
  }

  /** True when all running instances, except the member itself, see the member with the expected fields. */
  allSee(memberId: string, expected: Partial<Member> | undefined): boolean {
    return this.alive()
      .filter(node => node.instance.id !== memberId)
      .every(node => {
        const seen = this.viewOf(node.instance.id, memberId);
        if (seen === undefined || expected === undefined) return seen === expected;
        return Object.entries(expected).every(
          ([key, value]) => seen[key as keyof Member] === value,
        );
      });
  }

  /** True when each running instance sees exactly as many reachable members as there are running instances. */
  converged(): boolean {
    const running = this.alive();
    return running.every(
      node =>
        node.membership.members().filter(member => member.reachability === 'reachable').length ===
        running.length,
    );
  }

  /** Marks all instances as serving and waits until they have converged; returns the elapsed milliseconds. */
  converge(limitMs = 120_000): number {
    for (const node of this.alive()) node.membership.setOwnState('serving');
    const elapsedMs = this.time.advanceUntil(() => this.converged(), limitMs, 250);
    if (elapsedMs === undefined) throw new Error(`the fleet did not converge in ${limitMs} ms`);
    return elapsedMs;
  }

  private send(
    from: Instance,
    address: SocketAddress,
    request: HeartbeatRequest,
  ): Effect.Effect<HeartbeatReply, HeartbeatError> {
    return Effect.gen(this, function* () {
      const to = this.byHost.get(address.host);
      if (to === undefined || !to.alive) {
        return yield* new HeartbeatError({detail: 'connection refused'});
      }
      yield* this.delayOrDrop(from, to.instance);
      if (!to.alive || to.clock.isPaused) return yield* noAnswer;
      const reply = to.membership.receive(request);
      yield* this.delayOrDrop(to.instance, from);
      return reply;
    });
  }

  private delayOrDrop(from: Instance, to: Instance): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.isCut(from, to) || this.random.next() < this.dropRate) return noAnswer;
      return Effect.sleep(Duration.millis(from.regionId === to.regionId ? 1 : 55));
    });
  }
}
