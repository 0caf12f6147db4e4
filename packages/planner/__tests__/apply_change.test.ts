import {emptyConfiguration} from '@cuminsill/types';
import type {Configuration, ConfigurationChange, ConfigurationChangeBody} from '@cuminsill/types';
import {applyChange, ConfigurationVersionError} from '@cuminsill/planner';

function makeChange(version: number, body: ConfigurationChangeBody): ConfigurationChange {
  return {version, author: 'ana', acceptedAtMs: 1_000 + version, planDigest: `d${version}`, body};
}

function putDrain(id: string, siteId: string): ConfigurationChangeBody {
  return {kind: 'put-intent', intent: {kind: 'drain', id, siteId}, previousShares: []};
}

function applyAll(bodies: readonly ConfigurationChangeBody[]): Configuration {
  return bodies.reduce<Configuration>(
    (configuration, body) =>
      applyChange(configuration, makeChange(configuration.version + 1, body)),
    emptyConfiguration,
  );
}

describe('applyChange', () => {
  const catalog = {...emptyConfiguration.catalog, regions: [{id: 'este', name: 'Este'}]};
  const cases = [
    {name: 'no change', bodies: [], ids: [], sites: []},
    {
      name: 'put two',
      bodies: [putDrain('a', 's1'), putDrain('b', 's2')],
      ids: ['a', 'b'],
      sites: ['s1', 's2'],
    },
    {
      name: 'replace one',
      bodies: [putDrain('a', 's1'), putDrain('b', 's2'), putDrain('a', 's3')],
      ids: ['b', 'a'],
      sites: ['s2', 's3'],
    },
    {
      name: 'remove one',
      bodies: [
        putDrain('a', 's1'),
        putDrain('b', 's2'),
        {kind: 'remove-intent', intentId: 'a'} as const,
      ],
      ids: ['b'],
      sites: ['s2'],
    },
    {
      name: 'remove an unknown one',
      bodies: [putDrain('a', 's1'), {kind: 'remove-intent', intentId: 'x'} as const],
      ids: ['a'],
      sites: ['s1'],
    },
    {
      name: 'put a catalog, keeping the intents',
      bodies: [putDrain('a', 's1'), {kind: 'put-catalog', catalog} as const],
      ids: ['a'],
      sites: ['s1'],
    },
  ];

  // Guards against intents that are lost, duplicated or left in force after their removal.
  test.each(cases)('$name', ({bodies, ids, sites}) => {
    const result = applyAll(bodies);
    expect(result.version).toBe(bodies.length);
    expect(result.intents.map(entry => entry.intent.id)).toEqual(ids);
    expect(result.intents.map(entry => 'siteId' in entry.intent && entry.intent.siteId)).toEqual(
      sites,
    );
  });

  // Guards against records that are applied twice, out of order or after a gap.
  test.each([0, 1, 3])('throws for version %i after version 1', version => {
    const current = applyAll([putDrain('a', 's1')]);
    expect(() => applyChange(current, makeChange(version, putDrain('b', 's2')))).toThrow(
      ConfigurationVersionError,
    );
  });
});
