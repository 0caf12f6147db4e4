/** Checks that a plan request refers to objects that exist and that its figures are usable. */
import {ResultError, resultCodes} from '@cuminsill/types';
import type {
  Catalog,
  DrainIntent,
  Intent,
  PlanRequest,
  RouteIntent,
  StopIntent,
} from '@cuminsill/types';

interface Problem {
  readonly field: string;
  readonly value: string;
  readonly fix: string;
}

/** Names listed in a fix; a catalog can hold thousands of sites. */
const longestNameList = 8;

type IntentCheck<Checked extends Intent> = (
  catalog: Catalog,
  intent: Checked,
) => readonly Problem[];

type IntentChecks = {
  readonly [Kind in Intent['kind']]: IntentCheck<Extract<Intent, {kind: Kind}>>;
};

const checks: IntentChecks = {route: checkRoute, drain: checkSite, stop: checkSite};

/**
 * Throws ResultError with code invalidIntent when the intent refers to something that does not exist. The
 * detail names each field, the value found and the fix.
 */
export function checkRequest(catalog: Catalog, request: PlanRequest): void {
  if (request.action === 'remove') return;
  const check = checks[request.intent.kind] as IntentCheck<Intent>;
  const problems = check(catalog, request.intent);
  if (problems.length === 0) return;
  const detail = problems
    .map(({field, value, fix}) => `${field}: found ${value}; ${fix}.`)
    .join(' ');
  throw new ResultError(resultCodes.invalidIntent, detail);
}

function checkRoute(catalog: Catalog, intent: RouteIntent): readonly Problem[] {
  const serviceIds = catalog.services.map(service => service.id);
  const regionIds = catalog.regions.map(region => region.id);
  const references = [
    ...checkName('intent.serviceId', 'service', intent.serviceId, serviceIds),
    ...checkName('intent.callerRegionId', 'region', intent.callerRegionId, regionIds),
    ...intent.shares.flatMap((entry, index) =>
      checkName(`intent.shares[${index}].regionId`, 'region', entry.regionId, regionIds),
    ),
  ];
  const figures = checkFigures(intent);
  if (references.length > 0) return [...references, ...figures];
  return [...checkShareTargets(catalog, intent), ...figures];
}

function checkShareTargets(catalog: Catalog, intent: RouteIntent): readonly Problem[] {
  const served = new Set(
    catalog.targets
      .filter(target => target.serviceId === intent.serviceId)
      .map(target => target.regionId),
  );
  return intent.shares.flatMap((entry, index) => {
    if (entry.share === 0 || served.has(entry.regionId)) return [];
    const fix = `the region has no targets for service "${intent.serviceId}"; ${oneOf([...served])}`;
    return [{field: `intent.shares[${index}].regionId`, value: `"${entry.regionId}"`, fix}];
  });
}

function checkFigures(intent: RouteIntent): readonly Problem[] {
  const problems: Problem[] = [];
  const sum = intent.shares.reduce((total, entry) => total + entry.share, 0);
  const everyShareValid = intent.shares.every(entry => entry.share >= 0 && entry.share <= 1);
  if (!everyShareValid || !(Math.abs(sum - 1) < 1e-6)) {
    const fix = 'give shares from 0 to 1 that add up to 1';
    problems.push({field: 'intent.shares', value: `a sum of ${sum}`, fix});
  }
  if (new Set(intent.shares.map(entry => entry.regionId)).size < intent.shares.length) {
    const fix = 'name each region once';
    problems.push({field: 'intent.shares', value: 'a region named twice', fix});
  }
  if (!(intent.maxMovedShare > 0 && intent.maxMovedShare <= 1)) {
    const fix = 'give a number above 0 and at most 1';
    problems.push({field: 'intent.maxMovedShare', value: String(intent.maxMovedShare), fix});
  }
  if (!(intent.windowS > 0 && Number.isFinite(intent.windowS))) {
    const fix = 'give a number of seconds above 0';
    problems.push({field: 'intent.windowS', value: String(intent.windowS), fix});
  }
  return problems;
}

function checkSite(catalog: Catalog, intent: DrainIntent | StopIntent): readonly Problem[] {
  const siteIds = [...new Set(catalog.targets.map(target => target.siteId))];
  return checkName('intent.siteId', 'site with targets', intent.siteId, siteIds);
}

function checkName(
  field: string,
  what: string,
  value: string,
  known: readonly string[],
): readonly Problem[] {
  if (known.includes(value)) return [];
  return [{field, value: `"${value}"`, fix: `there is no such ${what}; ${oneOf(known)}`}];
}

function oneOf(names: readonly string[]): string {
  if (names.length === 0) return 'add one to the catalog first';
  const listed = [...names].sort().slice(0, longestNameList).join(', ');
  const rest = names.length - longestNameList;
  return `use one of ${listed}${rest > 0 ? ` and ${rest} more` : ''}`;
}
