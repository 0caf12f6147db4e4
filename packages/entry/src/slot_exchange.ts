/** Slot loans between entries: the server side of `SlotService` and the calls to peers. */
import type {ServiceImpl} from '@connectrpc/connect';
import type {Metrics} from '@cuminsill/logger';
import type {PeerClients} from '@cuminsill/protocol';
import {SlotService} from '@cuminsill/protocol';
import type {SteeringDecisions} from '@cuminsill/steering';
import type {Member} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {rankByRendezvous} from '@cuminsill/utils';
import type {EntryView} from './entry_view';

/** Dependencies of the slot exchange. */
export interface SlotExchangeDependencies {
  readonly instanceId: string;
  readonly view: EntryView;
  readonly peerClients: PeerClients;
  readonly time: TimeSource;
  readonly steering: SteeringDecisions;
  readonly metrics: Metrics;
}

/** Number of peers that one borrow asks at most. */
const maxAskedPeers = 3;

/** Borrows idle slots from peers and lends its own. */
export class SlotExchange {
  private readonly pendingBorrows = new Set<string>();
  private borrowCount = 0;

  constructor(private readonly deps: SlotExchangeDependencies) {}

  /** Asks peers for slots, those in the region of the targets first; one borrow at a time per service and region. */
  borrow(serviceId: string, targetRegionId: string, wantedSlots: number): void {
    const key = `${serviceId}/${targetRegionId}`;
    if (this.pendingBorrows.has(key)) return;
    this.pendingBorrows.add(key);
    void this.askPeers(serviceId, targetRegionId, wantedSlots).finally(() =>
      this.pendingBorrows.delete(key),
    );
  }

  /** Returns loans before they expire. If the message is lost, the lender gets its slots back at the expiry. */
  returnLoans(lenderId: string, loanIds: readonly string[]): void {
    const lender = this.deps.view.memberById(lenderId);
    if (lender === undefined) return;
    this.deps.peerClients
      .clientFor(SlotService, lender.instance.entryPeerAddress)
      .return({loanIds: [...loanIds]})
      .catch(() => undefined);
  }

  /** Implementation of `SlotService` for peers. */
  service(): ServiceImpl<typeof SlotService> {
    return {
      borrow: request => {
        const {serviceId, targetRegionId} = request;
        const loans = this.deps.steering.lendSlots(
          request.borrowerInstanceId,
          serviceId,
          targetRegionId,
          request.wantedSlots,
        );
        const tags = {service: serviceId, region: targetRegionId};
        if (loans.length > 0) this.deps.metrics.count('slots.lent', loans.length, tags);
        return {loans: loans.map(loan => ({...loan}))};
      },
      return: request => {
        this.deps.steering.takeBackLoans(request.loanIds);
        return {};
      },
    };
  }

  private async askPeers(
    serviceId: string,
    targetRegionId: string,
    wantedSlots: number,
  ): Promise<void> {
    let missingSlots = wantedSlots;
    for (const peer of this.rankLenders(targetRegionId)) {
      if (missingSlots <= 0) return;
      missingSlots -= await this.askPeer(peer, serviceId, targetRegionId, missingSlots);
    }
  }

  private async askPeer(
    peer: Member,
    serviceId: string,
    targetRegionId: string,
    wantedSlots: number,
  ): Promise<number> {
    const {peerClients, view, instanceId, time, metrics} = this.deps;
    const askedAtMs = time.monotonicMs();
    try {
      const reply = await peerClients
        .clientFor(SlotService, peer.instance.entryPeerAddress)
        .borrow({
          borrowerInstanceId: instanceId,
          serviceId,
          targetRegionId,
          wantedSlots,
          configVersion: BigInt(view.configuration.version),
        });
      const tags = {service: serviceId, region: targetRegionId};
      if (reply.loans.length > 0) metrics.count('slots.borrowed', reply.loans.length, tags);
      this.deps.steering.acceptLoans(peer.instance.id, reply.loans, askedAtMs);
      return reply.loans.length;
    } catch {
      // The peer failed or timed out. Slots that it may have lent expire without a message.
      return 0;
    }
  }

  private rankLenders(targetRegionId: string): readonly Member[] {
    this.borrowCount += 1;
    const usable = this.deps.view.members.filter(
      member =>
        member.instance.id !== this.deps.instanceId &&
        member.reachability === 'reachable' &&
        member.state === 'serving',
    );
    const ranked = rankByRendezvous(
      `${this.deps.instanceId}/${this.borrowCount}`,
      usable.map(member => member.instance.id),
    );
    const inOrder = ranked.flatMap(id => usable.filter(member => member.instance.id === id));
    const near = inOrder.filter(member => member.instance.regionId === targetRegionId);
    const far = inOrder.filter(member => member.instance.regionId !== targetRegionId);
    return [...near, ...far].slice(0, maxAskedPeers);
  }
}
