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
  next(shares: readonly RegionShare[]): string | undefined {
    const margin = shares.length < 2 ? 0 : 1 / (2 * shares.length - 2);
    let best: RegionCredit | undefined;
    let bestDeadline = Infinity;
    let largest: RegionCredit | undefined;
    for (const {regionId, share} of shares) {
      const entry = this.creditOf(regionId);
      entry.credit += share;
      if (largest === undefined || entry.credit > largest.credit) largest = entry;
      if (share <= 0 || entry.credit < margin) continue;
      const deadline = (1 - margin - entry.credit) / share;
      if (deadline < bestDeadline) {
        best = entry;
        bestDeadline = deadline;
      }
    }
    const chosen = best ?? largest;
    if (chosen !== undefined) chosen.credit -= 1;
    return chosen?.regionId;
  }

  private creditOf(regionId: string): RegionCredit {
    let entry = this.credits.find(candidate => candidate.regionId === regionId);
    if (entry === undefined) {
      entry = {regionId, credit: 0};
      this.credits.push(entry);
    }
    return entry;
  }
}
