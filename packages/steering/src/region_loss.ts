/** Decides whether one service has lost a region, from the state of its targets there. */
import type {TimeSource} from '@cuminsill/utils';
import type {TargetState} from './target_state';

/** A region that was lost has recovered when at most this share of its targets is still down. */
const maxDownFraction = 0.25;

/** Loss and recovery of one service in one region, as far as this entry knows. */
export class RegionLoss {
  /** True when no target can take work. */
  isLost = false;
  /** True from the loss until the slow start of the targets that have returned has ended. */
  isRecovering = false;

  constructor(private readonly time: TimeSource) {}

  /** Evaluates the targets; `changed` tells that one of them may have become available or not. */
  update(targets: Iterable<TargetState>, availabilityChanged: boolean): void {
    if (availabilityChanged) this.isLost = this.hasNoUsableTarget(targets);
    if (this.isLost) this.isRecovering = true;
    else if (this.isRecovering) this.isRecovering = this.isStillRecovering(targets);
  }

  /**
   * Targets that this entry has slots of decide; without any, the reports do. A target that is leaving says nothing
   * about the others: an entry whose slots are all at that target must not count the region as lost.
   */
  private hasNoUsableTarget(targets: Iterable<TargetState>): boolean {
    const nowWallMs = this.time.nowMs();
    let hasSlots = false;
    let hasOpenTargetWithoutSlots = false;
    for (const target of targets) {
      if (target.isLeaving) continue;
      if (target.slots.some(slot => slot.held)) {
        if (!target.isDown) return false;
        hasSlots = true;
      } else if (!target.isDown && !target.isReportedFailing(nowWallMs)) {
        hasOpenTargetWithoutSlots = true;
      }
    }
    return hasSlots || !hasOpenTargetWithoutSlots;
  }

  private isStillRecovering(targets: Iterable<TargetState>): boolean {
    const nowMs = this.time.monotonicMs();
    let knownCount = 0;
    let downCount = 0;
    let startingCount = 0;
    for (const target of targets) {
      if (target.isLeaving) continue;
      knownCount += 1;
      if (target.isDown) downCount += 1;
      else if (target.isStarting(nowMs)) startingCount += 1;
    }
    return startingCount > 0 || downCount > knownCount * maxDownFraction;
  }
}
