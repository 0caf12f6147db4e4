/** Decides whether one service has lost a region, from the state of its targets there. */
import type {TimeSource} from '@cuminsill/utils';
import type {TargetState} from './target_state';

/** A region that was lost has recovered when at most this share of its targets is still down. */
const largestDownShare = 0.25;

/** Loss and recovery of one service in one region, as far as this entry knows. */
export class RegionLoss {
  /** True when no target can take work. */
  lost = false;
  /** True from the loss until the slow start of the targets that have returned has ended. */
  recovering = false;

  constructor(private readonly time: TimeSource) {}

  /** Evaluates the targets; `changed` tells that one of them may have become available or not. */
  update(targets: Iterable<TargetState>, changed: boolean): void {
    if (changed) this.lost = this.findLoss(targets);
    if (this.lost) this.recovering = true;
    else if (this.recovering) this.recovering = this.findRecovering(targets);
  }

  /**
   * Targets that this entry has slots of decide; without any, the reports do. A target that is leaving says nothing
   * about the others: an entry whose slots are all at that target must not count the region as lost.
   */
  private findLoss(targets: Iterable<TargetState>): boolean {
    const nowWallMs = this.time.nowMs();
    let holdsSlots = false;
    let othersOpen = false;
    for (const target of targets) {
      if (target.leaving) continue;
      if (target.slots.some(slot => slot.held)) {
        if (!target.down) return false;
        holdsSlots = true;
      } else if (!target.down && !target.isReportedFailing(nowWallMs)) {
        othersOpen = true;
      }
    }
    return holdsSlots || !othersOpen;
  }

  private findRecovering(targets: Iterable<TargetState>): boolean {
    const nowMs = this.time.monotonicMs();
    let known = 0;
    let down = 0;
    let starting = 0;
    for (const target of targets) {
      if (target.leaving) continue;
      known += 1;
      if (target.down) down += 1;
      else if (target.isStarting(nowMs)) starting += 1;
    }
    return starting > 0 || down > known * largestDownShare;
  }
}
