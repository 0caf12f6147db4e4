/**
 * Estimates the utilization of a group of targets from their reports. One gateway hears of a target every few seconds, so
 * the reports of all targets of the group are averaged with weights that decay with time.
 */

/**
 * Time in which the weight of a report falls to 1/e. With four reports a second the estimate has a standard error of
 * about 0.06; a longer time would lag too far behind a demand that doubles within nine seconds.
 */
const decayTimeMs = 4_000;

/** Average over recent reports, with the number of reports that it is based on. */
export class UtilizationEstimate {
  private weightedSum = 0;
  private weightedFractionSum = 0;
  private totalWeight = 0;

  /** Reduces the weight of the reports so far. */
  decay(elapsedMs: number): void {
    const factor = Math.exp(-elapsedMs / decayTimeMs);
    this.weightedSum *= factor;
    this.weightedFractionSum *= factor;
    this.totalWeight *= factor;
  }

  /**
   * Adds a report.
   * @param nearFraction Fraction of the objects that were kept near when the report was made.
   */
  add(utilization: number, nearFraction: number): void {
    this.weightedSum += utilization;
    this.weightedFractionSum += nearFraction;
    this.totalWeight += 1;
  }

  /** Number of reports with their weights. */
  get weight(): number {
    return this.totalWeight;
  }

  /** Average fraction kept near over the reports. Meaningless without reports. */
  get nearFraction(): number {
    return this.weightedFractionSum / this.totalWeight;
  }

  /** Average utilization; `priorWeight` reports of `prior` are added, so that few reports do not decide alone. */
  mean(prior: number, priorWeight: number): number {
    return (this.weightedSum + prior * priorWeight) / (this.totalWeight + priorWeight);
  }
}
