/** Combines the rules of a route with those of the caller's workspace. */
import type {RouteRule, WorkspaceRule} from '../gateway_types';

/** Returns the route with the home regions that both allow; undefined when there is no such region. */
export function routeForWorkspace(
  route: RouteRule,
  workspace: WorkspaceRule | undefined,
): RouteRule | undefined {
  if (workspace === undefined || workspace.homeRegions.length === 0) return route;
  if (route.homeRegions.length === 0) return {...route, homeRegions: workspace.homeRegions};
  const homeRegions = route.homeRegions.filter(region => workspace.homeRegions.includes(region));
  return homeRegions.length === 0 ? undefined : {...route, homeRegions};
}
