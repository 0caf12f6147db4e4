/**
 * Assigns requests to regions by error diffusion, so that the counts follow the shares closely. The rule is the
 * earliest-deadline one of Tijdeman, "The chairman assignment problem" (1980), whose counts differ from fixed
 * shares by less than one request.
 */
import type {RegionShare} from '@cuminsill/types';

interface RegionCredit {
  readonly regionId: string;
  credit: number;
}

/** Assigns the requests of one service and caller region. */
export class RegionAssignment {
  private credits: RegionCredit[] = [];

  /** The region of the next request; undefined without shares. */
  nextRegionId(shares: readonly RegionShare[]): string | undefined {
    const margin = shares.length < 2 ? 0 : 1 / (2 * shares.length - 2);
    let mostUrgent: RegionCredit | undefined;
    let earliestDeadline = Infinity;
    let largest: RegionCredit | undefined;
    for (const {regionId, share} of shares) {
      const regionCredit = this.getOrCreateCredit(regionId);
      regionCredit.credit += share;
      if (largest === undefined || regionCredit.credit > largest.credit) largest = regionCredit;
      if (share <= 0 || regionCredit.credit < margin) continue;
      const deadline = (1 - margin - regionCredit.credit) / share;
      if (deadline < earliestDeadline) {
        mostUrgent = regionCredit;
        earliestDeadline = deadline;
      }
    }
    const chosen = mostUrgent ?? largest;
    if (chosen !== undefined) chosen.credit -= 1;
    return chosen?.regionId;
  }

  private getOrCreateCredit(regionId: string): RegionCredit {
    let regionCredit = this.credits.find(candidate => candidate.regionId === regionId);
    if (regionCredit === undefined) {
      regionCredit = {regionId, credit: 0};
      this.credits.push(regionCredit);
    }
    return regionCredit;
  }
}
