/**
 * Divides the requests of a route among its services by smooth weighted round robin, which keeps to the weights even
 * over few requests; a random choice would not.
 */
import type {RouteRule, WeightedService} from '../gateway_types';

/** Selects services per route; starts over for a route whose services or weights change. */
export class ServiceSelector {
  private readonly byRoute = new Map<string, WeightedRoundRobin>();

  /** Returns the service for the next request of the route; undefined when the route has none. */
  next(route: RouteRule): string | undefined {
    if (route.services.length <= 1) return route.services[0]?.service;
    return this.rotationOf(route).next();
  }

  private rotationOf(route: RouteRule): WeightedRoundRobin {
    const key = `${route.host} ${route.pathPrefix}`;
    const known = this.byRoute.get(key);
    if (known !== undefined && haveSameWeights(known.services, route.services)) return known;
    const rotation = new WeightedRoundRobin(route.services);
    this.byRoute.set(key, rotation);
    return rotation;
  }
}

class WeightedRoundRobin {
  private readonly credits: number[];
  private readonly totalWeight: number;

  constructor(readonly services: readonly WeightedService[]) {
    this.credits = services.map(() => 0);
    this.totalWeight = services.reduce((sum, {weight}) => sum + weight, 0);
  }

  next(): string | undefined {
    let best = 0;
    for (const [index, {weight}] of this.services.entries()) {
      this.credits[index] = (this.credits[index] ?? 0) + weight;
      if ((this.credits[index] ?? 0) > (this.credits[best] ?? 0)) best = index;
    }
    this.credits[best] = (this.credits[best] ?? 0) - this.totalWeight;
    return this.services[best]?.service;
  }
}

function haveSameWeights(a: readonly WeightedService[], b: readonly WeightedService[]): boolean {
  return (
    a.length === b.length &&
    a.every((part, index) => part.service === b[index]?.service && part.weight === b[index]?.weight)
  );
}
