/**
 * The slots that one entry holds for one service in one region: own, lent and borrowed. Finds the best free slot
 * and learns from every attempt. The cost of a request does not grow with the targets of the fleet.
 */
import type {ServiceContract, Target, TargetReport, TrafficClass} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import type {WaitingRequest} from './admission_queue';
import {ceilTenth, idleBorrowedSlots, LoanBook, loansByLender} from './loan_book';
import {RegionLoss} from './region_loss';
import type {HandedSlot} from './slot_division';
import type {AttemptResult, SlotLoan} from './steering_types';
import {TargetHeap} from './target_heap';
import type {Slot, TargetSettings} from './target_state';
import {isBetterTarget, penaltyMs, TargetState} from './target_state';

/**
 * A slot that another entry owned before stays unused this long: until that entry has the new view too, and its
 * requests have ended. With 1 s, entries that adopted a change 5 s apart overfilled endpoints by a third.
 */
const handOverMs = 6000;
/** Weight of a new latency in the pool's running mean. */
const latencyWeight = 0.05;
/** The reserve against batch is kept for this long after the last request of another class. */
const reserveMemoryMs = 60_000;

/** What a pool needs to know of a request. */
export interface SlotRequest extends WaitingRequest {
  readonly excludedTargetIds: readonly string[];
}

/** Slots of one service in one region at one entry. */
export class SlotPool {
  /** Running mean of the latency of answered requests, in milliseconds. */
  typicalMs: number;
  inFlight = 0;
  heldSlots = 0;
  freeSlots = 0;
  answeredTotal = 0;

  private readonly targets = new Map<string, TargetState>();
  private readonly ownSlots = new Map<string, Slot>();
  /** Slots whose usability changes with time. */
  private readonly timed = new Set<Slot>();
  private readonly watched = new Set<TargetState>();
  private readonly heap = new TargetHeap<TargetState>(isBetterTarget);
  private readonly loans: LoanBook;
  private readonly loss: RegionLoss;
  private batchInFlight = 0;
  private otherClassAtMs = -Infinity;
  private availabilityChanged = true;
  private nextDueMs = Infinity;
  private initialised = false;

  constructor(
    private contract: ServiceContract,
    readonly regionId: string,
    instanceId: string,
    private readonly nextSlotId: () => number,
    private readonly settings: TargetSettings,
    private readonly time: TimeSource,
  ) {
    this.typicalMs = contract.expectedServiceMs;
    this.loss = new RegionLoss(time);
    this.loans = new LoanBook(`${instanceId}/${contract.id}/${regionId}`, time);
  }

  get serviceId(): string {
    return this.contract.id;
  }

  /** Adopts the targets of the configuration; a target that was not known before starts slowly. */
  setTargets(contract: ServiceContract, targets: readonly Target[]): void {
    this.contract = contract;
    const nowMs = this.time.monotonicMs();
    const ids = new Set(targets.map(target => target.id));
    for (const [id, state] of this.targets) {
      if (ids.has(id)) continue;
      for (const slot of state.slots) slot.held = false;
      this.targets.delete(id);
      this.watched.delete(state);
      this.refresh(state, nowMs);
    }
    for (const target of targets) {
      const known = this.targets.get(target.id);
      if (known !== undefined) {
        known.target = target;
        continue;
      }
      const startedAtMs = this.initialised ? nowMs : -Infinity;
      const state = new TargetState(target, startedAtMs, this.typicalMs, this.settings);
      this.targets.set(target.id, state);
      if (this.initialised) this.watched.add(state);
    }
    this.initialised = true;
    this.expire(true);
  }

  /** Adopts the own slots of a new division. */
  setOwnSlots(owned: readonly HandedSlot[]): void {
    const nowMs = this.time.monotonicMs();
    const keys = new Set<string>();
    for (const {targetId, slotIndex, fromOther} of owned) {
      const target = this.targets.get(targetId);
      if (target === undefined) continue;
      const key = `${targetId}/${slotIndex}`;
      keys.add(key);
      const known = this.ownSlots.get(key);
      if (known !== undefined && known.target === target) {
        if (!known.held && fromOther) this.block(known, nowMs + handOverMs);
        known.held = true;
        continue;
      }
      const slot = this.makeSlot(target, slotIndex, {expiresAtMs: Infinity});
      if (fromOther) this.block(slot, nowMs + handOverMs);
      this.ownSlots.set(key, slot);
    }
    for (const [key, slot] of this.ownSlots) if (!keys.has(key)) slot.held = false;
    this.expire(true);
  }

  /** Takes the best free slot; undefined when there is none that this request may use. */
  tryTake(request: SlotRequest): Slot | undefined {
    this.expire();
    const nowMs = this.time.monotonicMs();
    if (request.trafficClass !== 'batch') this.otherClassAtMs = nowMs;
    else if (!this.batchMayStart(nowMs)) return undefined;
    let chosen: Slot | undefined;
    const target = this.heap.findBest(candidate => {
      if (request.excludedTargetIds.includes(candidate.target.id)) return false;
      chosen = this.freeSlotOf(candidate, request.deadlineMs, nowMs);
      return chosen !== undefined;
    });
    if (target === undefined || chosen === undefined) return undefined;
    chosen.busy = true;
    target.inFlight += 1;
    this.inFlight += 1;
    if (request.trafficClass === 'batch') this.batchInFlight += 1;
    this.refresh(target, nowMs);
    return chosen;
  }

  /** Gives a slot back and learns from the attempt. */
  giveBack(
    slot: Slot,
    trafficClass: TrafficClass,
    result: AttemptResult,
    durationMs: number,
  ): void {
    const nowMs = this.time.monotonicMs();
    const {target} = slot;
    slot.busy = false;
    slot.idleSinceMs = nowMs;
    target.inFlight -= 1;
    this.inFlight -= 1;
    if (trafficClass === 'batch') this.batchInFlight -= 1;
    const wasDown = target.down;
    this.learn(slot, result, durationMs, nowMs);
    if (wasDown || target.down) this.watch(target);
    this.refresh(target, nowMs);
  }

  /** Adopts a report about one of the targets. */
  applyReport(report: TargetReport): void {
    const target = this.targets.get(report.targetId);
    if (target === undefined) return;
    const nowMs = this.time.monotonicMs();
    target.applyReport(report, nowMs, this.time.nowMs());
    if (target.leaving || target.isStarting(nowMs)) this.watch(target);
    this.availabilityChanged = true;
    this.refresh(target, nowMs);
  }

  /** Notes that a target said it is leaving. */
  markLeaving(targetId: string): void {
    const target = this.targets.get(targetId);
    if (target === undefined) return;
    target.markLeaving(this.time.nowMs());
    this.watch(target);
    this.expire();
  }

  /** Lends free own slots; keeps one in ten, rounded up, for own requests. */
  lend(wantedSlots: number): readonly SlotLoan[] {
    this.expire();
    const nowMs = this.time.monotonicMs();
    let left = Math.min(wantedSlots, this.freeSlots - ceilTenth(this.heldSlots));
    const lent: SlotLoan[] = [];
    for (const slot of this.ownSlots.values()) {
      if (left <= 0) break;
      const {target} = slot;
      if (target.heapIndex < 0 || target.down || !target.isFree(slot, nowMs)) continue;
      lent.push(this.loans.lend(slot, this.contract.defaultTimeoutMs));
      this.trackTimed(slot);
      this.refresh(target, nowMs);
      left -= 1;
    }
    return lent;
  }

  /** Adds borrowed slots that can still be used. */
  accept(lenderId: string, loans: readonly SlotLoan[], askedAtMs: number): void {
    const nowMs = this.time.monotonicMs();
    for (const loan of loans) {
      const target = this.targets.get(loan.targetId);
      const expiresAtMs = askedAtMs + loan.durationMs;
      if (target === undefined || expiresAtMs <= nowMs) continue;
      if (!this.loans.startBorrowing(loan.loanId, expiresAtMs)) continue;
      const slot = this.makeSlot(target, -1, {expiresAtMs, loanId: loan.loanId, lenderId});
      slot.idleSinceMs = nowMs;
      this.trackTimed(slot);
      this.refresh(target, nowMs);
    }
  }

  /** Takes back slots whose borrower returned them early. */
  takeBack(loanIds: readonly string[]): void {
    const nowMs = this.time.monotonicMs();
    for (const slot of this.loans.takeBack(loanIds)) this.refresh(slot.target, nowMs);
  }

  /** Removes borrowed slots that are idle; returns their loans by lender. */
  returnIdleLoans(): ReadonlyMap<string, readonly string[]> {
    const nowMs = this.time.monotonicMs();
    const idle = idleBorrowedSlots(this.timed, nowMs);
    for (const slot of idle) {
      slot.held = false;
      this.refresh(slot.target, nowMs);
    }
    return loansByLender(idle);
  }

  /** See {@link RegionLoss.lost}. */
  isLost(): boolean {
    this.expire();
    return this.loss.lost;
  }

  /** See {@link RegionLoss.recovering}. */
  isRecovering(): boolean {
    this.expire();
    return this.loss.recovering;
  }

  /** True when a target that is not excluded can take work, now or on a slot that is borrowed later. */
  hasOtherTarget(excludedTargetIds: readonly string[]): boolean {
    if (excludedTargetIds.length === 0) return true;
    for (const target of this.targets.values()) {
      if (target.leaving || target.down) continue;
      if (!excludedTargetIds.includes(target.target.id)) return true;
    }
    return false;
  }

  /** Applies everything that time has changed; cheap when nothing is due. */
  expire(force = false): void {
    const nowMs = this.time.monotonicMs();
    if (!force && nowMs < this.nextDueMs) return;
    if (force) this.availabilityChanged = true;
    const changed = new Set<TargetState>(force ? this.targets.values() : this.watched);
    for (const slot of this.timed) {
      changed.add(slot.target);
      if (slot.busy || nowMs < slot.blockedUntilMs) continue;
      slot.lentAs = undefined;
      if (slot.expiresAtMs === Infinity || nowMs >= slot.expiresAtMs || !slot.held) {
        this.timed.delete(slot);
      }
    }
    for (const target of this.watched) {
      if (!target.leaving && !target.isStarting(nowMs)) this.watched.delete(target);
    }
    for (const target of changed) {
      this.dropUnused(target, nowMs);
      this.refresh(target, nowMs);
    }
    this.loss.update(this.targets.values(), this.availabilityChanged);
    this.availabilityChanged = false;
    this.nextDueMs = this.findNextDue(nowMs);
  }

  private findNextDue(nowMs: number): number {
    // Watched targets change by steps of slow start and by the end of a down time; a fixed pace is enough.
    let dueMs = this.watched.size > 0 ? nowMs + 100 : Infinity;
    for (const slot of this.timed) {
      if (slot.blockedUntilMs > nowMs) dueMs = Math.min(dueMs, slot.blockedUntilMs);
      if (slot.expiresAtMs > nowMs) dueMs = Math.min(dueMs, slot.expiresAtMs);
    }
    return dueMs;
  }

  private learn(slot: Slot, result: AttemptResult, durationMs: number, nowMs: number): void {
    const {target} = slot;
    switch (result) {
      case 'answered':
        this.answeredTotal += 1;
        this.typicalMs += latencyWeight * (durationMs - this.typicalMs);
        target.recordAnswer(durationMs, nowMs);
        return;
      case 'cancelled':
        return;
      case 'failed':
      case 'shed':
        this.penalise(slot, target.recordTrouble(nowMs), nowMs);
        return;
      default:
        this.penalise(slot, target.recordSilence(nowMs, this.time.nowMs()), nowMs);
    }
  }

  private penalise(slot: Slot, failures: number, nowMs: number): void {
    this.block(slot, nowMs + penaltyMs(failures, this.typicalMs));
  }

  private block(slot: Slot, untilMs: number): void {
    // A slot that is lent stays so until its loan ends.
    slot.blockedUntilMs = Math.max(slot.blockedUntilMs, untilMs);
    this.trackTimed(slot);
  }

  private trackTimed(slot: Slot): void {
    this.timed.add(slot);
    this.nextDueMs = Math.min(this.nextDueMs, slot.blockedUntilMs, slot.expiresAtMs);
  }

  private watch(target: TargetState): void {
    this.watched.add(target);
    this.availabilityChanged = true;
    this.nextDueMs = -Infinity;
  }

  /** The reserve is for other classes, so a pool that serves only batch keeps none. */
  private batchMayStart(nowMs: number): boolean {
    if (nowMs - this.otherClassAtMs > reserveMemoryMs) return true;
    const usable = Math.max(1, this.heldSlots - ceilTenth(this.heldSlots));
    return this.batchInFlight < usable;
  }

  private freeSlotOf(target: TargetState, deadlineMs: number, nowMs: number): Slot | undefined {
    let borrowed: Slot | undefined;
    for (const slot of target.slots) {
      if (!target.isFree(slot, nowMs)) continue;
      if (slot.expiresAtMs === Infinity) return slot;
      // The request may run until its deadline, and by then the lender may use the slot again.
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

  private dropUnused(target: TargetState, nowMs: number): void {
    for (let index = target.slots.length - 1; index >= 0; index -= 1) {
      const slot = target.slots[index];
      if (slot === undefined || slot.busy || nowMs < slot.blockedUntilMs) continue;
      if (slot.held && nowMs < slot.expiresAtMs) continue;
      target.slots.splice(index, 1);
      this.timed.delete(slot);
      const key = `${target.target.id}/${slot.slotIndex}`;
      if (this.ownSlots.get(key) === slot) this.ownSlots.delete(key);
    }
  }

  private refresh(target: TargetState, nowMs: number): void {
    let free = 0;
    let held = 0;
    const open = target.isOpen(nowMs) && this.targets.get(target.target.id) === target;
    if (open) {
      const openSlots = target.openSlots(nowMs);
      for (const slot of target.slots) {
        if (!slot.held || slot.lentAs !== undefined || nowMs >= slot.expiresAtMs) continue;
        if (slot.slotIndex < openSlots) held += 1;
        if (target.isFree(slot, nowMs)) free += 1;
      }
    }
    this.freeSlots += free - target.freeSlots;
    this.heldSlots += held - target.heldSlots;
    target.freeSlots = free;
    target.heldSlots = held;
    target.updateScore(this.time.nowMs());
    if (free > 0) this.heap.update(target);
    else this.heap.remove(target);
  }
}
