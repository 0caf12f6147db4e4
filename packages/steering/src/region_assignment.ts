/**
 * Assigns requests to regions by error diffusion, so that the number of requests per region follows the shares
 * closely. Uses the earliest-deadline rule of R. Tijdeman, "The chairman assignment problem" (1980): with constant
 * shares, each region's count differs from its share of the requests by less than one.
 */
import type {RegionShare} from '@cuminsill/types';

interface RegionCredit {
  readonly regionId: string;
  /** Requests that the shares give to the region, less those assigned to it. */
  credit: number;
}

/** Assigns the requests of one service and caller region to regions. */
export class RegionAssignment {
  private credits: RegionCredit[] = [];

  /** Assigns the next request. Returns undefined if there are no shares. */
  nextRegionId(shares: readonly RegionShare[]): string | undefined {
    const minCredit = shares.length < 2 ? 0 : 1 / (2 * shares.length - 2);
    let mostUrgent: RegionCredit | undefined;
    let fewestUntilDue = Infinity;
    let largest: RegionCredit | undefined;
    for (const {regionId, share} of shares) {
      const regionCredit = this.getOrCreateCredit(regionId);
      regionCredit.credit += share;
      if (largest === undefined || regionCredit.credit > largest.credit) largest = regionCredit;
      if (share <= 0 || regionCredit.credit < minCredit) continue;
      const requestsUntilDue = (1 - minCredit - regionCredit.credit) / share;
      if (requestsUntilDue < fewestUntilDue) {
        mostUrgent = regionCredit;
        fewestUntilDue = requestsUntilDue;
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
