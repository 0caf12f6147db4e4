/**
 * Round-trip times to failure domains, learned from how long new connections take. Until one was made, the distance is
 * guessed from whether the region is the gateway's own.
 */

const guessedSameDomainMs = 1;
const guessedSameRegionMs = 3;
const guessedOtherRegionMs = 60;
/** Part of the old value that remains when a connection took longer; a shorter time is taken over at once. */
const memory = 0.9;

/** Round-trip times from one gateway. */
export class PathLatency {
  private readonly byDomain = new Map<string, number>();

  constructor(
    private readonly ownDomain: string,
    private readonly regions: ReadonlyMap<string, string>,
  ) {}

  /** Notes the time that a new connection took. */
  observe(failureDomain: string, connectMs: number): void {
    const old = this.byDomain.get(failureDomain);
    const next =
      old === undefined || connectMs < old ? connectMs : memory * old + (1 - memory) * connectMs;
    this.byDomain.set(failureDomain, next);
  }

  /** True once a connection to the failure domain was timed. */
  isKnown(failureDomain: string): boolean {
    return this.byDomain.has(failureDomain);
  }

  /** Expected round-trip time in milliseconds. */
  roundTripMs(failureDomain: string): number {
    return this.byDomain.get(failureDomain) ?? this.guess(failureDomain);
  }

  private guess(failureDomain: string): number {
    if (failureDomain === this.ownDomain) return guessedSameDomainMs;
    const sameRegion = this.regions.get(failureDomain) === this.regions.get(this.ownDomain);
    return sameRegion ? guessedSameRegionMs : guessedOtherRegionMs;
  }
}
