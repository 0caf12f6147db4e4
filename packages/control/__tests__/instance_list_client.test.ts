import type {Instance, Member} from '@cuminsill/types';
import {isListReader} from '../src/instance_list_client';

const address = {host: '127.0.0.1', port: 1};

function member(id: string, reachability: Member['reachability']): Member {
  const instance: Instance = {
    id,
    regionId: 'region-1',
    failureDomainId: 'domain-1',
    callerAddress: address,
    entryPeerAddress: address,
    controlPeerAddress: address,
  };
  return {instance, state: 'serving', reachability, incarnation: 1, configVersion: 1};
}

function readersAmong(members: readonly Member[]): readonly string[] {
  return members
    .filter(({reachability}) => reachability === 'reachable')
    .filter(({instance}) => isListReader(instance, members))
    .map(({instance}) => instance.id);
}

// Guards against reads of the platform's instance list that grow with the fleet, and against a list that nobody reads.
it.each([1, 2, 3, 50])(
  'selects at most two of %d instances of a region to read the list',
  count => {
    const members = Array.from({length: count}, (_, index) => member(`i-${index}`, 'reachable'));
    const readers = readersAmong(members);
    expect(readers).toHaveLength(Math.min(2, count));
    const withoutReaders = members.map(original =>
      readers.includes(original.instance.id)
        ? member(original.instance.id, 'unreachable')
        : original,
    );
    expect(readersAmong(withoutReaders)).toHaveLength(Math.min(2, Math.max(0, count - 2)));
  },
);
