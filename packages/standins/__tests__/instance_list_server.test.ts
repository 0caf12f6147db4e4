import {ManualTime} from '@cuminsill/utils';
import {makeDeployment} from '../src/example_deployments';
import {InstanceList} from '../src/instance_list_server';
import type {ListedInstance} from '../src/instance_list_server';

const [first, second] = makeDeployment('carpas').instances.map((instance): ListedInstance => ({
  instance,
  state: 'live',
})) as [ListedInstance, ListedInstance];

describe('InstanceList', () => {
  // Guards against a stand-in that is more up to date than the platform's list.
  it('returns the list as it was before the lag', () => {
    const time = new ManualTime();
    const list = new InstanceList([first], 5000, time);
    expect(list.current()).toEqual([first]);
    time.advance(1000);
    list.replace([first, second]);
    time.advance(4999);
    expect(list.current()).toEqual([first]);
    time.advance(1);
    expect(list.current()).toEqual([first, second]);
    list.replace([second]);
    list.setLag(0);
    expect(list.current()).toEqual([second]);
  });
});
