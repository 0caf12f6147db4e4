import {CurrentSettings, decodeSettings, SettingsError} from '../src/gateway_settings';

const file = {
  name: 'gateway-1',
  region: 'a',
  failureDomain: 'a-1',
  regionOfFailureDomain: {'a-1': 'a', 'b-1': 'b'},
  storeAddress: '10.0.0.9:8642',
  listen: {
    callers: '10.0.0.1:1',
    lookups: '10.0.0.1:2',
    readiness: '10.0.0.1:3',
    metrics: '10.0.0.1:4',
    peers: '10.0.0.1:5',
  },
  bounds: {
    stopGraceS: 6,
    resyncMs: 3_000,
    retryRatio: 0.2,
    retryWindowS: 10,
    retrySlackRequests: 60,
    coldOvershootRatio: 1.5,
    coldSlackRequests: 5,
    maxLookupTtlS: 5,
  },
};

describe('decodeSettings', () => {
  test('reads the known fields and ignores others', () => {
    const settings = decodeSettings(JSON.stringify({...file, later: 1}));
    expect(settings.storeAddress).toEqual({host: '10.0.0.9', port: 8_642});
    expect(settings.listen.peers.port).toBe(5);
    expect(settings.regions.get('b-1')).toBe('b');
    expect(settings.bounds.stopGraceMs).toBe(6_000);
  });

  const wrong: ReadonlyArray<readonly [string, object, string]> = [
    [
      'a bound that is a string',
      {bounds: {...file.bounds, stopGraceS: 'long'}},
      'bounds.stopGraceS is "long"; expected a number',
    ],
    [
      'a negative bound',
      {bounds: {...file.bounds, retryRatio: -1}},
      'bounds.retryRatio is -1; expected a number of 0 or more',
    ],
    ['a missing string', {region: undefined}, 'region is missing; expected a text'],
    ['an empty name', {name: ''}, 'name is ""; expected a text'],
    [
      'an address without a port',
      {storeAddress: 'store'},
      'storeAddress is "store"; expected an address such as',
    ],
    [
      'a port out of range',
      {listen: {...file.listen, peers: '10.0.0.1:70000'}},
      'listen.peers is "10.0.0.1:70000"',
    ],
  ];
  test.each(wrong)(
    'names the field, the value and the expected form: %s',
    (_name, change, problem) => {
      expect(() => decodeSettings(JSON.stringify({...file, ...change}))).toThrow(problem);
    },
  );

  test('reports every problem at once', () => {
    try {
      decodeSettings('{}');
      throw new Error('the settings were taken');
    } catch (error) {
      expect((error as SettingsError).problems.length).toBeGreaterThan(10);
    }
    expect(() => decodeSettings('= broken')).toThrow(SettingsError);
  });
});

describe('CurrentSettings', () => {
  test('applies bounds and names the settings that need a restart', () => {
    const current = new CurrentSettings(decodeSettings(JSON.stringify(file)));
    const bounds = {...file.bounds, retrySlackRequests: 30};
    const next = {...file, bounds, storeAddress: '10.0.0.8:8642'};
    expect(current.reload(decodeSettings(JSON.stringify(next)))).toEqual(['storeAddress']);
    expect(current.value.bounds.retrySlack).toBe(30);
    expect(current.value.storeAddress.host).toBe('10.0.0.9');
  });

  test('reports no change for the same file', () => {
    const current = new CurrentSettings(decodeSettings(JSON.stringify(file)));
    expect(current.reload(decodeSettings(JSON.stringify(file)))).toEqual([]);
  });
});
