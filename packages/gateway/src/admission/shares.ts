/** Divides the capacity of a service between ranks, and the capacity of a rank between workspaces. */

/** Each rank gets at least this part of the served fraction; a quarter is required, and the estimate is often too low. */
const guaranteedPart = 0.35;

/** What one rank gets, in the unit of its demand. */
export interface RankShare {
  /** Capacity that the rank gets whatever more urgent ranks ask for. */
  readonly guaranteed: number;
  readonly total: number;
}

/**
 * Divides the capacity: every rank gets its guaranteed part, and the rest goes to the ranks in their order.
 * @param demands Demand of each rank, the most urgent first.
 * @param servedFraction Part of the whole demand that the service can take.
 * @param smoothedFraction Its mean, of which each rank is guaranteed a part.
 */
export function divideByRank(
  demands: readonly number[],
  servedFraction: number,
  smoothedFraction: number,
): readonly RankShare[] {
  const guaranteedFraction = guaranteedPart * Math.min(1, smoothedFraction);
  const demandSum = demands.reduce((sum, demand) => sum + demand, 0);
  let spare = demandSum * Math.max(0, servedFraction - guaranteedFraction);
  return demands.map(demand => {
    const guaranteed = demand * guaranteedFraction;
    const beyond = Math.min(demand - guaranteed, spare);
    spare -= beyond;
    return {guaranteed, total: guaranteed + beyond};
  });
}

/**
 * Returns the max-min fair level: each demand gets the smaller of itself and the level. Infinite when the capacity
 * meets all demands.
 * @param sortedDemands Demands in ascending order.
 */
export function maxMinLevel(sortedDemands: readonly number[], capacity: number): number {
  let left = capacity;
  for (const [index, demand] of sortedDemands.entries()) {
    const level = left / (sortedDemands.length - index);
    if (demand > level) return level;
    left -= demand;
  }
  return Infinity;
}
