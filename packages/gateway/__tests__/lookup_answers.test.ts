import {answerLookup, maxAddresses} from '../src/lookup_answers';

function gateway(name: string, region: string, port: number) {
  const address = {host: '127.0.0.1', port};
  return {name, region, failureDomain: `${region}-1`, callerAddress: address, peerAddress: address};
}

const gateways = [gateway('a2', 'a', 2), gateway('a1', 'a', 1), gateway('b1', 'b', 3)];

describe('answerLookup', () => {
  const cases: ReadonlyArray<readonly [string, string | undefined, readonly number[]]> = [
    ['names the gateways of the region of the caller', 'a', [1, 2]],
    ['names all when the region has none', 'c', [1, 2, 3]],
    ['names all when the caller does not state its region', undefined, [1, 2, 3]],
  ];
  test.each(cases)('%s', (_name, region, ports) => {
    const answer = answerLookup({region, failureDomain: undefined}, gateways, 5_000);
    expect(answer.addresses.map(({port}) => port)).toEqual(ports);
  });

  test('keeps to the maximum TTL and the maximum number of addresses', () => {
    const many = Array.from({length: 100}, (_value, index) => gateway(`g${index}`, 'a', index + 1));
    const answer = answerLookup({region: 'a', failureDomain: undefined}, many, 1_000);
    expect(answer.addresses).toHaveLength(maxAddresses);
    expect(answer.ttlMs).toBe(1_000);
  });
});
