/** Finds the route of a request: by host, then by the longest matching path prefix. */
import type {GatewayConfiguration, RouteRule} from '../gateway_types';

/** Routes of one configuration, indexed by host. */
export class RouteTable {
  private readonly byHost = new Map<string, readonly RouteRule[]>();

  constructor(readonly configuration: GatewayConfiguration) {
    for (const route of configuration.routes) {
      const host = normaliseHost(route.host);
      this.byHost.set(host, [...(this.byHost.get(host) ?? []), route]);
    }
    for (const [host, routes] of this.byHost) {
      this.byHost.set(
        host,
        [...routes].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
      );
    }
  }

  /** Returns the route for a host and the path and query of a request line; undefined when none matches. */
  find(host: string | undefined, requestTarget: string): RouteRule | undefined {
    if (host === undefined) return undefined;
    const path = pathOf(requestTarget);
    return this.byHost.get(normaliseHost(host))?.find(route => path.startsWith(route.pathPrefix));
  }
}

/** Host without port, in lower case. */
function normaliseHost(host: string): string {
  const lower = host.toLowerCase();
  return lower.startsWith('[') ? lower.replace(/\]:\d+$/, ']') : lower.replace(/:\d+$/, '');
}

function pathOf(requestTarget: string): string {
  const end = requestTarget.indexOf('?');
  return end < 0 ? requestTarget : requestTarget.slice(0, end);
}
