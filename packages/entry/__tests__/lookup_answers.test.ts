import type {Configuration, Link, Member} from '@cuminsill/types';
import {emptyConfiguration} from '@cuminsill/types';
import * as fc from 'fast-check';
import {linkLatencyMs, LookupAnswers} from '../src/lookup_answers';
import type {LookupAnswer} from '../src/lookup_answers';

const regionIds = ['a', 'b', 'c', 'd'];
const maxAgeS = 5;
const instancesPerAnswer = 3;

function makeMember(index: number, generated: GeneratedMember): Member {
  const address = {host: '127.0.0.1', port: 1000 + index};
  return {
    instance: {
      id: `instance-${(index * 7) % 31}`,
      regionId: generated.regionId,
      failureDomainId: `${generated.regionId}-1`,
      callerAddress: address,
      entryPeerAddress: address,
      controlPeerAddress: address,
    },
    state: generated.state,
    reachability: generated.reachability,
    incarnation: 1,
    configVersion: 1,
  };
}

const memberArbitrary = fc.record({
  regionId: fc.constantFrom(...regionIds),
  state: fc.constantFrom('serving' as const, 'leaving' as const, 'starting' as const),
  reachability: fc.constantFrom('reachable' as const, 'suspect' as const, 'unreachable' as const),
});

type GeneratedMember = typeof memberArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const linkArbitrary: fc.Arbitrary<Link> = fc
  .record({
    fromRegionId: fc.constantFrom(...regionIds),
    toRegionId: fc.constantFrom(...regionIds),
    oneWayLatencyMs: fc.constantFrom(1, 5, 12),
  })
  .filter(link => link.fromRegionId !== link.toRegionId);

function configurationOf(links: readonly Link[]): Configuration {
  const regions = regionIds.map(id => ({id, name: id}));
  return {...emptyConfiguration, catalog: {...emptyConfiguration.catalog, regions, links}};
}

/** Reference implementation of the rule in section 4.8 of the design page: sorts all members for each region. */
function expectedAnswers(
  regionId: string,
  members: readonly Member[],
  links: readonly Link[],
): readonly LookupAnswer[] {
  const usable = members.filter(
    member => member.state === 'serving' && member.reachability !== 'unreachable',
  );
  const distanceMs = (member: Member) => linkLatencyMs(links, regionId, member.instance.regionId);
  const ownRegionMembers = usable.filter(member => member.instance.regionId === regionId);
  const otherRegionMembers = usable
    .filter(member => member.instance.regionId !== regionId)
    .sort((a, b) => distanceMs(a) - distanceMs(b) || (a.instance.id < b.instance.id ? -1 : 1));
  const nearest = otherRegionMembers.filter(
    member => distanceMs(member) === distanceMs(otherRegionMembers[0] as Member),
  );
  const first = ownRegionMembers.length > 0 ? ownRegionMembers : nearest;
  const rest = otherRegionMembers.filter(member => !first.includes(member));
  return first.map((_, offset) => {
    const rotated = [...first.slice(offset), ...first.slice(0, offset)];
    const kept = rotated.slice(0, rest.length > 0 ? instancesPerAnswer - 1 : instancesPerAnswer);
    const chosen = [...kept, ...rest.slice(0, instancesPerAnswer - kept.length)];
    const instances = chosen.map(({instance}) => ({
      instanceId: instance.id,
      ...instance.callerAddress,
    }));
    return {instances, maxAgeS};
  });
}

function nextAnswer(answers: LookupAnswers, regionId: string): LookupAnswer | undefined {
  const answer = answers.answerFor(regionId);
  return answer === undefined ? undefined : (JSON.parse(answer.toString()) as LookupAnswer);
}

// Guards against answers that contain an instance that does not serve, miss a region, or stop rotating.
describe('LookupAnswers', () => {
  it('gives the same rotations as the reference implementation, for any members and links', () => {
    fc.assert(
      fc.property(
        fc.array(memberArbitrary, {maxLength: 30}),
        fc.array(linkArbitrary, {maxLength: 12}),
        (generatedMembers, links) => {
          const members = generatedMembers.map((generated, index) => makeMember(index, generated));
          const answers = new LookupAnswers(maxAgeS);
          answers.rebuild(configurationOf(links), members);
          for (const regionId of regionIds) {
            const expected = expectedAnswers(regionId, members, links);
            const seen = expected.map(() => nextAnswer(answers, regionId));
            expect([...seen.slice(-1), ...seen.slice(0, -1)]).toEqual(expected);
            if (expected.length === 0) expect(nextAnswer(answers, regionId)).toBeUndefined();
          }
        },
      ),
      {seed: 1, numRuns: 500},
    );
  });
});
