/** Validates a catalog beyond its schema: unique ids, references that resolve, and IPv4 client blocks. */
import {isIPv4} from 'node:net';
import type {Catalog} from '@cuminsill/types';
import type {FieldProblem} from '@cuminsill/validation';
import {InvalidDataError} from '@cuminsill/validation';

/** Throws an InvalidDataError that lists every problem of the catalog. */
export function checkCatalog(catalog: Catalog): void {
  const problems = [
    ...findDuplicateIds('regions', catalog.regions),
    ...findDuplicateIds('failureDomains', catalog.failureDomains),
    ...findDuplicateIds('services', catalog.services),
    ...findDuplicateIds('targets', catalog.targets),
    ...findUnknownReferences(catalog),
    ...findInvalidPrefixes(catalog),
  ];
  if (problems.length > 0) throw new InvalidDataError('catalog', problems);
}

function findDuplicateIds(
  listName: string,
  items: ReadonlyArray<{readonly id: string}>,
): readonly FieldProblem[] {
  const seenIds = new Set<string>();
  return items.flatMap((item, index) => {
    const isDuplicate = seenIds.has(item.id);
    seenIds.add(item.id);
    if (!isDuplicate) return [];
    return [{field: `${listName}[${index}].id`, value: item.id, fix: 'use each id once'}];
  });
}

/** Entry processes match callers by IPv4 prefix only and would silently ignore any other prefix. */
function findInvalidPrefixes(catalog: Catalog): readonly FieldProblem[] {
  return catalog.clientBlocks.flatMap(({prefix}, index) => {
    if (isIPv4Prefix(prefix)) return [];
    const fix = 'use an IP prefix of IPv4, for example 10.1.0.0/16';
    return [{field: `clientBlocks[${index}].prefix`, value: prefix, fix}];
  });
}

function isIPv4Prefix(prefix: string): boolean {
  const [address = '', prefixLength = '32', ...extraParts] = prefix.split('/');
  return (
    isIPv4(address) &&
    /^\d{1,2}$/.test(prefixLength) &&
    Number(prefixLength) <= 32 &&
    extraParts.length === 0
  );
}

/** A field that must hold the id of something that the catalog defines. */
interface Reference {
  readonly field: string;
  readonly value: string;
  readonly knownIds: ReadonlySet<string>;
  readonly kind: string;
}

function findUnknownReferences(catalog: Catalog): readonly FieldProblem[] {
  return listReferences(catalog)
    .filter(reference => !reference.knownIds.has(reference.value))
    .map(({field, value, kind}) => ({field, value, fix: `name a ${kind} of this catalog`}));
}

function listReferences(catalog: Catalog): readonly Reference[] {
  const regions = {knownIds: collectIds(catalog.regions), kind: 'region'};
  const failureDomains = {knownIds: collectIds(catalog.failureDomains), kind: 'failure domain'};
  const services = {knownIds: collectIds(catalog.services), kind: 'service'};
  return [
    ...catalog.failureDomains.map((domain, index) => ({
      field: `failureDomains[${index}].regionId`,
      value: domain.regionId,
      ...regions,
    })),
    ...catalog.links.flatMap((link, index) => [
      {field: `links[${index}].fromRegionId`, value: link.fromRegionId, ...regions},
      {field: `links[${index}].toRegionId`, value: link.toRegionId, ...regions},
    ]),
    ...catalog.targets.flatMap((target, index) => [
      {field: `targets[${index}].regionId`, value: target.regionId, ...regions},
      {
        field: `targets[${index}].failureDomainId`,
        value: target.failureDomainId,
        ...failureDomains,
      },
      {field: `targets[${index}].serviceId`, value: target.serviceId, ...services},
    ]),
    ...catalog.clientBlocks.map((block, index) => ({
      field: `clientBlocks[${index}].regionId`,
      value: block.regionId,
      ...regions,
    })),
    ...catalog.demands.flatMap((demand, index) => [
      {field: `demands[${index}].serviceId`, value: demand.serviceId, ...services},
      {field: `demands[${index}].callerRegionId`, value: demand.callerRegionId, ...regions},
    ]),
  ];
}

function collectIds(items: ReadonlyArray<{readonly id: string}>): ReadonlySet<string> {
  return new Set(items.map(item => item.id));
}
