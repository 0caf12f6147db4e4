/** Validates plan requests: ids must exist in the catalog, and shares and caps must be in range. */
import {ResultError, resultCodes} from '@cuminsill/types';
import type {
  Catalog,
  DrainIntent,
  Intent,
  PlanRequest,
  RouteIntent,
  StopIntent,
} from '@cuminsill/types';

/** One invalid field of a request, the value found in it and how to correct it. */
interface FieldProblem {
  readonly field: string;
  readonly value: string;
  readonly fix: string;
}

/** Maximum number of known ids that an error lists; a catalog can hold thousands of sites. */
const maxListedIds = 8;

type IntentCheck<Checked extends Intent> = (
  catalog: Catalog,
  intent: Checked,
) => readonly FieldProblem[];

type IntentChecks = {
  readonly [Kind in Intent['kind']]: IntentCheck<Extract<Intent, {kind: Kind}>>;
};

const intentChecks: IntentChecks = {
  route: checkRouteIntent,
  drain: checkSiteIntent,
  stop: checkSiteIntent,
};

/**
 * Throws ResultError with code invalidIntent when the intent refers to an unknown id or has a value out of range.
 * The detail names each invalid field, the value found and how to correct it.
 */
export function checkPlanRequest(catalog: Catalog, request: PlanRequest): void {
  if (request.action === 'remove') return;
  const check = intentChecks[request.intent.kind] as IntentCheck<Intent>;
  const problems = check(catalog, request.intent);
  if (problems.length === 0) return;
  const detail = problems
    .map(({field, value, fix}) => `${field}: found ${value}; ${fix}.`)
    .join(' ');
  throw new ResultError(resultCodes.invalidIntent, detail);
}

function checkRouteIntent(catalog: Catalog, intent: RouteIntent): readonly FieldProblem[] {
  const serviceIds = catalog.services.map(service => service.id);
  const regionIds = catalog.regions.map(region => region.id);
  const referenceProblems = [
    ...checkId('intent.serviceId', 'service', intent.serviceId, serviceIds),
    ...checkId('intent.callerRegionId', 'region', intent.callerRegionId, regionIds),
    ...intent.shares.flatMap((entry, index) =>
      checkId(`intent.shares[${index}].regionId`, 'region', entry.regionId, regionIds),
    ),
  ];
  const rangeProblems = checkRanges(intent);
  if (referenceProblems.length > 0) return [...referenceProblems, ...rangeProblems];
  return [...checkShareRegions(catalog, intent), ...rangeProblems];
}

function checkShareRegions(catalog: Catalog, intent: RouteIntent): readonly FieldProblem[] {
  const servingRegionIds = new Set(
    catalog.targets
      .filter(target => target.serviceId === intent.serviceId)
      .map(target => target.regionId),
  );
  return intent.shares.flatMap((entry, index) => {
    if (entry.share === 0 || servingRegionIds.has(entry.regionId)) return [];
    const fix = `the region has no targets for service "${intent.serviceId}"; ${suggestIds([...servingRegionIds])}`;
    return [{field: `intent.shares[${index}].regionId`, value: `"${entry.regionId}"`, fix}];
  });
}

function checkRanges(intent: RouteIntent): readonly FieldProblem[] {
  const problems: FieldProblem[] = [];
  const sum = intent.shares.reduce((total, entry) => total + entry.share, 0);
  const areSharesInRange = intent.shares.every(entry => entry.share >= 0 && entry.share <= 1);
  if (!areSharesInRange || !(Math.abs(sum - 1) < 1e-6)) {
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

function checkSiteIntent(
  catalog: Catalog,
  intent: DrainIntent | StopIntent,
): readonly FieldProblem[] {
  const siteIds = [...new Set(catalog.targets.map(target => target.siteId))];
  return checkId('intent.siteId', 'site with targets', intent.siteId, siteIds);
}

function checkId(
  field: string,
  idKind: string,
  value: string,
  knownIds: readonly string[],
): readonly FieldProblem[] {
  if (knownIds.includes(value)) return [];
  return [{field, value: `"${value}"`, fix: `there is no such ${idKind}; ${suggestIds(knownIds)}`}];
}

function suggestIds(ids: readonly string[]): string {
  if (ids.length === 0) return 'add one to the catalog first';
  const listedIds = [...ids].sort().slice(0, maxListedIds).join(', ');
  const unlistedCount = ids.length - maxListedIds;
  return `use one of ${listedIds}${unlistedCount > 0 ? ` and ${unlistedCount} more` : ''}`;
}
