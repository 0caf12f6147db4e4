/** Checks that a catalog refers only to what it defines, and defines nothing twice. */
import {isIPv4} from 'node:net';
import type {Catalog} from '@cuminsill/types';
import type {FieldProblem} from '@cuminsill/validation';
import {InvalidDataError} from '@cuminsill/validation';

/** Throws InvalidDataError with every problem found. */
export function checkCatalog(catalog: Catalog): void {
  const problems = [
    ...duplicates('regions', catalog.regions),
    ...duplicates('failureDomains', catalog.failureDomains),
    ...duplicates('services', catalog.services),
    ...duplicates('targets', catalog.targets),
    ...unknownReferences(catalog),
    ...wrongPrefixes(catalog),
  ];
  if (problems.length > 0) throw new InvalidDataError('catalog', problems);
}

function duplicates(
  list: string,
  objects: ReadonlyArray<{readonly id: string}>,
): readonly FieldProblem[] {
  const seen = new Set<string>();
  return objects.flatMap((object, index) => {
    const isRepeated = seen.has(object.id);
    seen.add(object.id);
    if (!isRepeated) return [];
    return [{field: `${list}[${index}].id`, value: object.id, fix: 'use each id once'}];
  });
}

/** Entries match callers by IPv4 blocks only; they would ignore any other prefix without a message. */
function wrongPrefixes(catalog: Catalog): readonly FieldProblem[] {
  return catalog.clientBlocks.flatMap(({prefix}, index) => {
    if (isIPv4Prefix(prefix)) return [];
    const fix = 'use an IP prefix of IPv4, for example 10.1.0.0/16';
    return [{field: `clientBlocks[${index}].prefix`, value: prefix, fix}];
  });
}

function isIPv4Prefix(prefix: string): boolean {
  const [address = '', bits = '32', ...rest] = prefix.split('/');
  return isIPv4(address) && /^\d{1,2}$/.test(bits) && Number(bits) <= 32 && rest.length === 0;
}

interface Reference {
  readonly field: string;
  readonly value: string;
  readonly known: ReadonlySet<string>;
  readonly what: string;
}

function unknownReferences(catalog: Catalog): readonly FieldProblem[] {
  return referencesOf(catalog)
    .filter(reference => !reference.known.has(reference.value))
    .map(({field, value, what}) => ({field, value, fix: `name a ${what} of this catalog`}));
}

function referencesOf(catalog: Catalog): readonly Reference[] {
  const regions = {known: idsOf(catalog.regions), what: 'region'};
  const domains = {known: idsOf(catalog.failureDomains), what: 'failure domain'};
  const services = {known: idsOf(catalog.services), what: 'service'};
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
      {field: `targets[${index}].failureDomainId`, value: target.failureDomainId, ...domains},
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

function idsOf(objects: ReadonlyArray<{readonly id: string}>): ReadonlySet<string> {
  return new Set(objects.map(object => object.id));
}
