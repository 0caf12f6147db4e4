/**
 * Round-trip times to failure domains, measured when connections are established. Before the first connection, the
 * time is assumed from whether domain and region are the gateway's own.
 */

const assumedSameDomainMs = 1;
const assumedSameRegionMs = 3;
const assumedOtherRegionMs = 60;
/** Weight of the old value when a connection took longer; a shorter time replaces the value at once. */
const smoothingFactor = 0.9;

/** Round-trip times from one gateway. */
export class RoundTripTimes {
  private readonly byDomain = new Map<string, number>();

  constructor(
    private readonly ownDomain: string,
    private readonly regions: ReadonlyMap<string, string>,
  ) {}

  /** Records the time that establishing a connection took. */
  observe(failureDomain: string, connectMs: number): void {
    const old = this.byDomain.get(failureDomain);
    const next =
      old === undefined || connectMs < old
        ? connectMs
        : smoothingFactor * old + (1 - smoothingFactor) * connectMs;
    this.byDomain.set(failureDomain, next);
  }

  /** True when the round-trip time to the failure domain was measured. */
  isMeasured(failureDomain: string): boolean {
    return this.byDomain.has(failureDomain);
  }

  /** Expected round-trip time in milliseconds. */
  expectedMs(failureDomain: string): number {
    return this.byDomain.get(failureDomain) ?? this.assumedMs(failureDomain);
  }

  private assumedMs(failureDomain: string): number {
    if (failureDomain === this.ownDomain) return assumedSameDomainMs;
    const isSameRegion = this.regions.get(failureDomain) === this.regions.get(this.ownDomain);
    return isSameRegion ? assumedSameRegionMs : assumedOtherRegionMs;
  }
}
