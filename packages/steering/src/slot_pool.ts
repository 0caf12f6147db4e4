/**
 * The slots that one entry holds for one service in one region: own, lent and borrowed ones. Finds the best free slot
 * for a request and records the result of every attempt. The cost per request does not grow with the size of the fleet.
 */
import type {ServiceContract, Target, TargetReport, TrafficClass} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {WaitingRequest} from './admission_queue';
import {reservedSlots, idleBorrowedSlots, LoanRegistry, loansByLender} from './loan_registry';
import {RegionLoss} from './region_loss';
import type {OwnSlot} from './slot_division';
import type {AttemptResult, SlotLoan} from './steering_types';
import {TargetHeap} from './target_heap';
import type {Slot, TargetSettings} from './target_state';
import {isBetterTarget, penaltyMs, TargetState} from './target_state';

/**
 * A slot that another entry owned before stays unused for this long, so that the other entry can adopt the new division
 * and finish its requests. With 1 s, entries that adopted a change 5 s apart overloaded targets by a third.
 */
const handoverDelayMs = 6000;
/** Weight of a new latency in the pool's exponentially weighted moving average. */
const latencyWeight = 0.05;
/** Slots are reserved for the other traffic classes until this long after their last request. */
const reserveHoldMs = 60_000;

/** The properties of a request that decide which slots it may use. */
export interface SlotRequest extends WaitingRequest {
  readonly excludedTargetIds: readonly string[];
}

/** The slots of one service in one region at one entry. */
export class SlotPool {
  /** Exponentially weighted moving average of the latency of answered requests. */
  averageLatencyMs: number;
  inFlight = 0;
  heldSlots = 0;
  freeSlots = 0;
  answeredTotal = 0;

  private readonly targets = new Map<string, TargetState>();
  private readonly ownSlots = new Map<string, Slot>();
  /** Slots that are blocked, lent or borrowed, so that they become usable or unusable at a known time. */
  private readonly timedSlots = new Set<Slot>();
  /** Targets that are leaving, down or in slow start. */
  private readonly watchedTargets = new Set<TargetState>();
  private readonly freeTargets = new TargetHeap<TargetState>(isBetterTarget);
  private readonly loanRegistry: LoanRegistry;
  private readonly loss: RegionLoss;
  private batchInFlight = 0;
  private lastNonBatchAtMs = -Infinity;
  private availabilityChanged = true;
  private nextDueAtMs = Infinity;
  private hasAdoptedTargets = false;

  constructor(
    private contract: ServiceContract,
    readonly regionId: string,
    instanceId: string,
    private readonly nextSlotId: () => number,
    private readonly settings: TargetSettings,
    private readonly time: TimeSource,
  ) {
    this.averageLatencyMs = contract.expectedServiceMs;
    this.loss = new RegionLoss(time);
    this.loanRegistry = new LoanRegistry(`${instanceId}/${contract.id}/${regionId}`, time);
  }

  get serviceId(): string {
    return this.contract.id;
  }

  /** Adopts the targets of a configuration; targets that are new since the previous one begin with slow start. */
  setTargets(contract: ServiceContract, targets: readonly Target[]): void {
    this.contract = contract;
    const nowMs = this.time.monotonicMs();
    const ids = new Set(targets.map(target => target.id));
    for (const [id, state] of this.targets) {
      if (ids.has(id)) continue;
      for (const slot of state.slots) slot.held = false;
      this.targets.delete(id);
      this.watchedTargets.delete(state);
      this.refreshTarget(state, nowMs);
    }
    for (const target of targets) {
      const known = this.targets.get(target.id);
      if (known !== undefined) {
        known.target = target;
        continue;
      }
      const startedAtMs = this.hasAdoptedTargets ? nowMs : -Infinity;
      const state = new TargetState(target, startedAtMs, this.averageLatencyMs, this.settings);
      this.targets.set(target.id, state);
      if (this.hasAdoptedTargets) this.watchedTargets.add(state);
    }
    this.hasAdoptedTargets = true;
    this.applyDueChanges(true);
  }

  /** Adopts the slots that a new division gives to this entry. */
  setOwnSlots(ownSlots: readonly OwnSlot[]): void {
    const nowMs = this.time.monotonicMs();
    const keys = new Set<string>();
    for (const {targetId, slotIndex, hadOtherOwner} of ownSlots) {
      const target = this.targets.get(targetId);
      if (target === undefined) continue;
      const key = `${targetId}/${slotIndex}`;
      keys.add(key);
      const known = this.ownSlots.get(key);
      if (known !== undefined && known.target === target) {
        if (!known.held && hadOtherOwner) this.blockSlot(known, nowMs + handoverDelayMs);
        known.held = true;
        continue;
      }
      const slot = this.makeSlot(target, slotIndex, {expiresAtMs: Infinity});
      if (hadOtherOwner) this.blockSlot(slot, nowMs + handoverDelayMs);
      this.ownSlots.set(key, slot);
    }
    for (const [key, slot] of this.ownSlots) if (!keys.has(key)) slot.held = false;
    this.applyDueChanges(true);
  }

  /** Takes the best free slot. Returns undefined if there is none that the request may use. */
  tryAcquire(request: SlotRequest): Slot | undefined {
    this.applyDueChanges();
    const nowMs = this.time.monotonicMs();
    if (request.trafficClass !== 'batch') this.lastNonBatchAtMs = nowMs;
    else if (!this.mayStartBatch(nowMs)) return undefined;
    let slot: Slot | undefined;
    const target = this.freeTargets.findBest(candidate => {
      if (request.excludedTargetIds.includes(candidate.target.id)) return false;
      slot = this.findFreeSlot(candidate, request.deadlineMs, nowMs);
      return slot !== undefined;
    });
    if (target === undefined || slot === undefined) return undefined;
    slot.busy = true;
    target.inFlight += 1;
    this.inFlight += 1;
    if (request.trafficClass === 'batch') this.batchInFlight += 1;
    this.refreshTarget(target, nowMs);
    return slot;
  }

  /** Frees a slot and records the result of the attempt. */
  release(slot: Slot, trafficClass: TrafficClass, result: AttemptResult, durationMs: number): void {
    const nowMs = this.time.monotonicMs();
    const {target} = slot;
    slot.busy = false;
    slot.idleSinceMs = nowMs;
    target.inFlight -= 1;
    this.inFlight -= 1;
    if (trafficClass === 'batch') this.batchInFlight -= 1;
    const wasDown = target.isDown;
    this.recordResult(slot, result, durationMs, nowMs);
    if (wasDown || target.isDown) this.watchTarget(target);
    this.refreshTarget(target, nowMs);
  }

  /** Adopts a report about one of the targets. */
  applyReport(report: TargetReport): void {
    const target = this.targets.get(report.targetId);
    if (target === undefined) return;
    const nowMs = this.time.monotonicMs();
    target.applyReport(report, nowMs, this.time.nowMs());
    if (target.isLeaving || target.isStarting(nowMs)) this.watchTarget(target);
    this.availabilityChanged = true;
    this.refreshTarget(target, nowMs);
  }

  /** Records that a target announced that it is leaving. */
  markLeaving(targetId: string): void {
    const target = this.targets.get(targetId);
    if (target === undefined) return;
    target.markLeaving(this.time.nowMs());
    this.watchTarget(target);
    this.applyDueChanges();
  }

  /** Lends free own slots, but keeps a reserve for own requests; see {@link reservedSlots}. */
  lendSlots(wantedSlots: number): readonly SlotLoan[] {
    this.applyDueChanges();
    const nowMs = this.time.monotonicMs();
    let remaining = Math.min(wantedSlots, this.freeSlots - reservedSlots(this.heldSlots));
    const lent: SlotLoan[] = [];
    for (const slot of this.ownSlots.values()) {
      if (remaining <= 0) break;
      const {target} = slot;
      if (target.heapIndex < 0 || target.isDown || !target.isFree(slot, nowMs)) continue;
      lent.push(this.loanRegistry.lend(slot, this.contract.defaultTimeoutMs));
      this.trackTimedSlot(slot);
      this.refreshTarget(target, nowMs);
      remaining -= 1;
    }
    return lent;
  }

  /** Adds borrowed slots whose loans have not expired. */
  acceptLoans(lenderId: string, loans: readonly SlotLoan[], borrowSentAtMs: number): void {
    const nowMs = this.time.monotonicMs();
    for (const loan of loans) {
      const target = this.targets.get(loan.targetId);
      const expiresAtMs = borrowSentAtMs + loan.durationMs;
      if (target === undefined || expiresAtMs <= nowMs) continue;
      if (!this.loanRegistry.recordBorrowed(loan.loanId, expiresAtMs)) continue;
      const slot = this.makeSlot(target, -1, {expiresAtMs, loanId: loan.loanId, lenderId});
      slot.idleSinceMs = nowMs;
      this.trackTimedSlot(slot);
      this.refreshTarget(target, nowMs);
    }
  }

  /** Makes lent slots available again that the borrower returned early. */
  takeBackLoans(loanIds: readonly string[]): void {
    const nowMs = this.time.monotonicMs();
    for (const slot of this.loanRegistry.endLoans(loanIds)) this.refreshTarget(slot.target, nowMs);
  }

  /** Removes the borrowed slots that are idle. Returns their loan ids by lender. */
  returnIdleLoans(): ReadonlyMap<string, readonly string[]> {
    const nowMs = this.time.monotonicMs();
    const idleSlots = idleBorrowedSlots(this.timedSlots, nowMs);
    for (const slot of idleSlots) {
      slot.held = false;
      this.refreshTarget(slot.target, nowMs);
    }
    return loansByLender(idleSlots);
  }

  /** See {@link RegionLoss.isLost}. */
  isLost(): boolean {
    this.applyDueChanges();
    return this.loss.isLost;
  }

  /** See {@link RegionLoss.isRecovering}. */
  isRecovering(): boolean {
    this.applyDueChanges();
    return this.loss.isRecovering;
  }

  /** True if a target that is not excluded can take requests, now or on a slot that is borrowed later. */
  hasOtherTarget(excludedTargetIds: readonly string[]): boolean {
    if (excludedTargetIds.length === 0) return true;
    for (const target of this.targets.values()) {
      if (target.isLeaving || target.isDown) continue;
      if (!excludedTargetIds.includes(target.target.id)) return true;
    }
    return false;
  }

  /** Ends blocks, loans and slow start steps that are due; cheap if nothing is due. `force` evaluates all targets. */
  applyDueChanges(force = false): void {
    const nowMs = this.time.monotonicMs();
    if (!force && nowMs < this.nextDueAtMs) return;
    if (force) this.availabilityChanged = true;
    const changedTargets = new Set<TargetState>(
      force ? this.targets.values() : this.watchedTargets,
    );
    for (const slot of this.timedSlots) {
      changedTargets.add(slot.target);
      if (slot.busy || nowMs < slot.blockedUntilMs) continue;
      slot.lentLoanId = undefined;
      if (slot.expiresAtMs === Infinity || nowMs >= slot.expiresAtMs || !slot.held) {
        this.timedSlots.delete(slot);
      }
    }
    for (const target of this.watchedTargets) {
      if (!target.isLeaving && !target.isStarting(nowMs)) this.watchedTargets.delete(target);
    }
    for (const target of changedTargets) {
      this.removeUnusedSlots(target, nowMs);
      this.refreshTarget(target, nowMs);
    }
    this.loss.update(this.targets.values(), this.availabilityChanged);
    this.availabilityChanged = false;
    this.nextDueAtMs = this.findNextDueAtMs(nowMs);
  }

  private findNextDueAtMs(nowMs: number): number {
    // Watched targets change with slow start steps and when a trial request is due; every 100 ms is often enough.
    let dueMs = this.watchedTargets.size > 0 ? nowMs + 100 : Infinity;
    for (const slot of this.timedSlots) {
      if (slot.blockedUntilMs > nowMs) dueMs = Math.min(dueMs, slot.blockedUntilMs);
      if (slot.expiresAtMs > nowMs) dueMs = Math.min(dueMs, slot.expiresAtMs);
    }
    return dueMs;
  }

  private recordResult(slot: Slot, result: AttemptResult, durationMs: number, nowMs: number): void {
    const {target} = slot;
    switch (result) {
      case 'answered':
        this.answeredTotal += 1;
        this.averageLatencyMs += latencyWeight * (durationMs - this.averageLatencyMs);
        target.recordAnswer(durationMs, nowMs);
        return;
      case 'cancelled':
        return;
      case 'failed':
      case 'shed':
        this.penalizeSlot(slot, target.recordFailure(nowMs), nowMs);
        return;
      default:
        this.penalizeSlot(slot, target.recordUnanswered(nowMs, this.time.nowMs()), nowMs);
    }
  }

  private penalizeSlot(slot: Slot, failureCount: number, nowMs: number): void {
    this.blockSlot(slot, nowMs + penaltyMs(failureCount, this.averageLatencyMs));
  }

  private blockSlot(slot: Slot, untilMs: number): void {
    // Never shortens an earlier block, because a slot that is lent stays blocked until its loan ends.
    slot.blockedUntilMs = Math.max(slot.blockedUntilMs, untilMs);
    this.trackTimedSlot(slot);
  }

  private trackTimedSlot(slot: Slot): void {
    this.timedSlots.add(slot);
    this.nextDueAtMs = Math.min(this.nextDueAtMs, slot.blockedUntilMs, slot.expiresAtMs);
  }

  private watchTarget(target: TargetState): void {
    this.watchedTargets.add(target);
    this.availabilityChanged = true;
    this.nextDueAtMs = -Infinity;
  }

  /** Reserves slots for the other traffic classes; a pool that serves only batch requests reserves none. */
  private mayStartBatch(nowMs: number): boolean {
    if (nowMs - this.lastNonBatchAtMs > reserveHoldMs) return true;
    const maxBatchInFlight = Math.max(1, this.heldSlots - reservedSlots(this.heldSlots));
    return this.batchInFlight < maxBatchInFlight;
  }

  private findFreeSlot(target: TargetState, deadlineMs: number, nowMs: number): Slot | undefined {
    let borrowed: Slot | undefined;
    for (const slot of target.slots) {
      if (!target.isFree(slot, nowMs)) continue;
      if (slot.expiresAtMs === Infinity) return slot;
      // The request may run until its deadline, and the lender may use the slot again when the loan expires.
      if (deadlineMs <= slot.expiresAtMs) borrowed = slot;
    }
    return borrowed;
  }

  private makeSlot(
    target: TargetState,
    slotIndex: number,
    loan: Pick<Slot, 'expiresAtMs' | 'loanId' | 'lenderId'>,
  ): Slot {
    const slot: Slot = {
      slotId: this.nextSlotId(),
      target,
      slotIndex,
      held: true,
      busy: false,
      blockedUntilMs: -Infinity,
      idleSinceMs: -Infinity,
      ...loan,
    };
    target.slots.push(slot);
    return slot;
  }

  private removeUnusedSlots(target: TargetState, nowMs: number): void {
    for (let index = target.slots.length - 1; index >= 0; index -= 1) {
      const slot = target.slots[index];
      if (slot === undefined || slot.busy || nowMs < slot.blockedUntilMs) continue;
      if (slot.held && nowMs < slot.expiresAtMs) continue;
      target.slots.splice(index, 1);
      this.timedSlots.delete(slot);
      const key = `${target.target.id}/${slot.slotIndex}`;
      if (this.ownSlots.get(key) === slot) this.ownSlots.delete(key);
    }
  }

  private refreshTarget(target: TargetState, nowMs: number): void {
    let freeCount = 0;
    let heldCount = 0;
    const isOpen = target.mayReceiveWork(nowMs) && this.targets.get(target.target.id) === target;
    if (isOpen) {
      const openSlots = target.openSlots(nowMs);
      for (const slot of target.slots) {
        if (!slot.held || slot.lentLoanId !== undefined || nowMs >= slot.expiresAtMs) continue;
        if (slot.slotIndex < openSlots) heldCount += 1;
        if (target.isFree(slot, nowMs)) freeCount += 1;
      }
    }
    this.freeSlots += freeCount - target.freeSlots;
    this.heldSlots += heldCount - target.heldSlots;
    target.freeSlots = freeCount;
    target.heldSlots = heldCount;
    target.updateScore(this.time.nowMs());
    if (freeCount > 0) this.freeTargets.insertOrUpdate(target);
    else this.freeTargets.remove(target);
  }
}
