import {decodeOrThrow, InvalidDataError} from '../src/decode';
import {ControlSettingsSchema} from '../src/settings';

const address = {host: '127.0.0.1', port: 20_000};
const validSettings = {
  instance: {id: 'instance-01', regionId: 'este', failureDomainId: 'este-1'},
  callers: address,
  entryPeers: address,
  peers: address,
  operators: address,
  store: address,
  peerKey: '0123456789abcdef',
};

function problemsOf(data: object): readonly object[] {
  try {
    decodeOrThrow('test', ControlSettingsSchema, data);
  } catch (error) {
    if (error instanceof InvalidDataError) return error.problems;
    throw error;
  }
  return [];
}

// Guards against a problem that is listed twice, and against a fix that would not correct the value.
describe('problems with settings', () => {
  it.each([
    {
      title: 'an optional field with a wrong value',
      change: {stopMarginS: -1},
      problems: [{field: 'stopMarginS', value: '-1', fix: 'use a number from 0 to 600'}],
    },
    {
      title: 'an optional object with a wrong field',
      change: {instanceList: {host: 'here', port: 1}},
      problems: [
        {
          field: 'instanceList.host',
          value: '"here"',
          fix: 'use an IP address, for example 127.0.0.1',
        },
      ],
    },
    {
      title: 'two wrong fields',
      change: {stopMarginS: -1, peerKey: 'short'},
      problems: [
        {field: 'peerKey', value: '***', fix: 'use a secret of at least 16 characters'},
        {field: 'stopMarginS', value: '-1', fix: 'use a number from 0 to 600'},
      ],
    },
  ])('$title', ({change, problems}) => {
    expect(problemsOf({...validSettings, ...change})).toEqual(problems);
  });
});
