/** Loans of slots between entries: the server side of `SlotService` and the calls to peers. */
import type {ServiceImpl} from '@connectrpc/connect';
import type {Metrics} from '@cuminsill/logger';
import type {PeerClients} from '@cuminsill/protocol';
import {SlotService} from '@cuminsill/protocol';
import type {SteeringDecisions} from '@cuminsill/steering';
import type {Member} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {rankByRendezvous} from '@cuminsill/utils';
import type {EntryView} from './entry_view';

/** What the exchange works with. */
export interface SlotExchangeParts {
  readonly instanceId: string;
  readonly view: EntryView;
  readonly clients: PeerClients;
  readonly time: TimeSource;
  readonly steering: SteeringDecisions;
  readonly metrics: Metrics;
}

/** Peers that are asked before the borrower gives up until its next attempt. */
const peersAsked = 3;

/** Asks peers for idle slots and lends own ones. */
export class SlotExchange {
  private readonly borrowing = new Set<string>();
  private rounds = 0;

  constructor(private readonly parts: SlotExchangeParts) {}

  /** Asks peers for slots, nearest to the targets first; one round at a time per service and region. */
  borrow(serviceId: string, targetRegionId: string, wantedSlots: number): void {
    const key = `${serviceId}/${targetRegionId}`;
    if (this.borrowing.has(key)) return;
    this.borrowing.add(key);
    void this.askPeers(serviceId, targetRegionId, wantedSlots).finally(() =>
      this.borrowing.delete(key),
    );
  }

  /** Returns loans before they expire. A lost message only delays the lender until the expiry. */
  giveBack(lenderId: string, loanIds: readonly string[]): void {
    const lender = this.parts.view.memberById(lenderId);
    if (lender === undefined) return;
    this.parts.clients
      .of(SlotService, lender.instance.entryPeerAddress)
      .return({loanIds: [...loanIds]})
      .catch(() => undefined);
  }

  /** The server side. */
  service(): ServiceImpl<typeof SlotService> {
    return {
      borrow: request => {
        const {serviceId, targetRegionId} = request;
        const loans = this.parts.steering.lendSlots(
          request.borrowerInstanceId,
          serviceId,
          targetRegionId,
          request.wantedSlots,
        );
        const tags = {service: serviceId, region: targetRegionId};
        if (loans.length > 0) this.parts.metrics.count('slots.lent', loans.length, tags);
        return {loans: loans.map(loan => ({...loan}))};
      },
      return: request => {
        this.parts.steering.takeBackLoans(request.loanIds);
        return {};
      },
    };
  }

  private async askPeers(
    serviceId: string,
    targetRegionId: string,
    wantedSlots: number,
  ): Promise<void> {
    let missing = wantedSlots;
    for (const peer of this.candidates(targetRegionId)) {
      if (missing <= 0) return;
      missing -= await this.askPeer(peer, serviceId, targetRegionId, missing);
    }
  }

  private async askPeer(
    peer: Member,
    serviceId: string,
    targetRegionId: string,
    wantedSlots: number,
  ): Promise<number> {
    const {clients, view, instanceId, time, metrics} = this.parts;
    const askedAtMs = time.monotonicMs();
    try {
      const reply = await clients.of(SlotService, peer.instance.entryPeerAddress).borrow({
        borrowerInstanceId: instanceId,
        serviceId,
        targetRegionId,
        wantedSlots,
        configVersion: BigInt(view.configuration.version),
      });
      const tags = {service: serviceId, region: targetRegionId};
      if (reply.loans.length > 0) metrics.count('slots.borrowed', reply.loans.length, tags);
      this.parts.steering.acceptLoans(peer.instance.id, reply.loans, askedAtMs);
      return reply.loans.length;
    } catch {
      // The peer is gone or slow. What it may have lent expires by itself.
      return 0;
    }
  }

  private candidates(targetRegionId: string): readonly Member[] {
    this.rounds += 1;
    const usable = this.parts.view.members.filter(
      member =>
        member.instance.id !== this.parts.instanceId &&
        member.reachability === 'reachable' &&
        member.state === 'serving',
    );
    const ranked = rankByRendezvous(
      `${this.parts.instanceId}/${this.rounds}`,
      usable.map(member => member.instance.id),
    );
    const inOrder = ranked.flatMap(id => usable.filter(member => member.instance.id === id));
    const near = inOrder.filter(member => member.instance.regionId === targetRegionId);
    const far = inOrder.filter(member => member.instance.regionId !== targetRegionId);
    return [...near, ...far].slice(0, peersAsked);
  }
}
