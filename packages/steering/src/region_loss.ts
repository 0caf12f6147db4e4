/** Detects from the state of a service's targets in a region whether the service has lost that region. */
import type {TimeSource} from '@cuminsill/utils';
import type {TargetState} from './target_state';

/** A lost region has recovered when at most this fraction of its targets is still down. */
const maxDownFraction = 0.25;

/** Loss and recovery of one service in one region, as seen by this entry. */
export class RegionLoss {
  /** True if no target of the service in the region can take requests. */
  isLost = false;
  /** True from the loss until the returned targets have finished their slow start. */
  isRecovering = false;

  constructor(private readonly time: TimeSource) {}

  /** Evaluates the targets; `availabilityChanged` is true if one may have become available or unavailable. */
  update(targets: Iterable<TargetState>, availabilityChanged: boolean): void {
    if (availabilityChanged) this.isLost = this.hasNoUsableTarget(targets);
    if (this.isLost) this.isRecovering = true;
    else if (this.isRecovering) this.isRecovering = this.isStillRecovering(targets);
  }

  /**
   * Looks only at the targets at which this entry holds slots; if it holds none, it relies on the reports. Ignores
   * leaving targets, so that an entry whose slots are all at a leaving target does not count the region as lost.
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
