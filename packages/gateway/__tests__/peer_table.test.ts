import {hash32, ManualTime} from '@cuminsill/utils';
import type {GatewayRecord} from '../src/gateway_types';
import {decodePeerMessage, encodePeerMessage} from '../src/peers/peer_message';
import {maxDirectPeers} from '../src/peers/peer_gossip';
import type {PeerHeartbeat} from '../src/peers/peer_table';
import {PeerTable, heartbeatTimeoutMs} from '../src/peers/peer_table';

function record(name: string): GatewayRecord {
  return {
    name,
    region: 'a',
    failureDomain: 'a-1',
    callerAddress: {host: '127.0.0.1', port: 1},
    peerAddress: {host: '127.0.0.1', port: 2},
  };
}

function setUp() {
  const time = new ManualTime();
  const table = new PeerTable(record('own'), time);
  const objects = ['own', 'p', 'q'].map(name => ({name, revision: 1, content: record(name)}));
  table.replace({objects, revision: 1});
  const serving = () => table.servingPeers().map(({name}) => name);
  return {time, table, serving};
}

const heartbeat = {name: 'p', startedAtMs: 100, sequence: 1, state: 'serving'} as const;

describe('PeerTable', () => {
  test('names a peer after its first heartbeat', () => {
    const {table, serving} = setUp();
    expect(serving()).toEqual([]);
    table.recordHeartbeat(heartbeat);
    expect(serving()).toEqual(['p']);
    expect(table.activeGatewayNames()).toEqual(['own', 'p']);
    expect(table.listedGatewayCount()).toBe(3);
  });

  /**
   * Guards against gateways that start together and each take the whole of the rate that a target names: none has heard
   * another yet.
   */
  test('presumes that listed gateways are active until they had time to be heard', () => {
    const {time, table} = setUp();
    expect(table.presumedActiveGatewayNames()).toEqual(['own', 'p', 'q']);
    expect(table.activeGatewayNames()).toEqual(['own']);
    table.recordHeartbeat(heartbeat);
    time.advance(heartbeatTimeoutMs);
    expect(table.presumedActiveGatewayNames()).toEqual(['own', 'p', 'q']);
    time.advance(100);
    expect(table.presumedActiveGatewayNames()).toEqual(['own']);
  });

  /**
   * Guards against a gateway that has just started and takes itself for the only one: it would plan for the callers of all
   * regions, and send objects that its near targets hold to far ones.
   */
  test('takes regions for equal until the gateways are listed', () => {
    const table = new PeerTable(record('own'), new ManualTime(), 3);
    expect(table.ownRegionFraction()).toBeCloseTo(1 / 3);
    const far = {...record('far'), region: 'b', failureDomain: 'b-1'};
    const objects = [record('own'), far].map(content => {
      return {name: content.name, revision: 1, content};
    });
    table.replace({objects, revision: 1});
    expect(table.ownRegionFraction()).toBe(1 / 2);
  });

  /** Guards against a gateway that is not told what the others know after it has started again. */
  test.each([
    ['the first heartbeat', [{}], true],
    ['another heartbeat of the process', [{}, {sequence: 2}], false],
    ['an old heartbeat', [{sequence: 2}, {}], false],
    ['the first heartbeat of a later process', [{}, {startedAtMs: 200}], true],
  ])('%s shows a new process: %s', (_name, changes, expected) => {
    const {table} = setUp();
    const results = changes.map(change => table.recordHeartbeat({...heartbeat, ...change}));
    expect(results.at(-1)).toBe(expected);
  });

  /** Guards against look-up answers that name a crashed gateway. */
  test('stops naming a peer without heartbeats', () => {
    const {time, table, serving} = setUp();
    table.recordHeartbeat(heartbeat);
    time.advance(heartbeatTimeoutMs + 1);
    expect(serving()).toEqual([]);
  });

  /** Guards against a late datagram that makes a leaving gateway reappear in look-up answers. */
  test('ignores heartbeats that arrive out of order', () => {
    const {table, serving} = setUp();
    table.recordHeartbeat({...heartbeat, sequence: 3, state: 'leaving'});
    table.recordHeartbeat({...heartbeat, sequence: 2});
    expect(serving()).toEqual([]);
    table.recordHeartbeat({...heartbeat, startedAtMs: 200, sequence: 1});
    expect(serving()).toEqual(['p']);
  });

  describe('heartbeats that another gateway passes on', () => {
    const relayed = {
      nameHash: hash32('q'),
      startedAtMs: 100,
      sequence: 4,
      state: 'serving',
    } as const;
    const cases: ReadonlyArray<readonly [string, object, number, readonly string[]]> = [
      ['name a peer', {ageMs: 100}, 0, ['q']],
      ['name no peer of another name', {ageMs: 100, nameHash: 1}, 0, []],
      ['count from when they were sent', {ageMs: 1_000}, heartbeatTimeoutMs - 900, []],
      ['say that a peer is leaving', {ageMs: 100, state: 'leaving'}, 0, []],
    ];
    /** Guards against peers that count as alive or dead at other times at each gateway. */
    test.each(cases)('%s', (_name, changes, waitMs, expected) => {
      const {time, table, serving} = setUp();
      table.recordRelayed([{...relayed, ageMs: 0, ...changes}]);
      time.advance(waitMs);
      expect(serving()).toEqual(expected);
    });

    /** Guards against old heartbeats that circulate and keep a crashed gateway alive. */
    test('do not replace a later heartbeat', () => {
      const {time, table, serving} = setUp();
      table.recordHeartbeat({...heartbeat, name: 'q', sequence: 4});
      time.advance(heartbeatTimeoutMs - 10);
      table.recordRelayed([{...relayed, ageMs: 0}]);
      time.advance(20);
      expect(serving()).toEqual([]);
    });

    test('are passed on once, with their age, in a fleet in which not all hear each other', () => {
      const {time, table} = setUp();
      const names = ['own', 'p', 'q', ...Array.from({length: maxDirectPeers}, (_, n) => `r${n}`)];
      const objects = names.map(name => ({name, revision: 1, content: record(name)}));
      table.replace({objects, revision: 1});
      table.recordHeartbeat(heartbeat);
      time.advance(400);
      table.recordRelayed([{...relayed, ageMs: 100}]);
      const ages = () => table.takeHeardHeartbeats().map(({nameHash, ageMs}) => [nameHash, ageMs]);
      expect(ages()).toEqual([
        [hash32('p'), 400],
        [hash32('q'), 100],
      ]);
      expect(ages()).toEqual([]);
    });

    test('are not passed on in a small fleet', () => {
      const {table} = setUp();
      table.recordHeartbeat(heartbeat);
      expect(table.takeHeardHeartbeats()).toEqual([]);
    });
  });

  test('forgets a peer whose record is removed', () => {
    const {table, serving} = setUp();
    table.recordHeartbeat(heartbeat);
    const object = {name: 'p', revision: 2, content: undefined};
    table.apply({revision: 2, changes: [{object, deleted: true}]});
    expect(serving()).toEqual([]);
  });
});

describe('decodePeerMessage', () => {
  const suspicion = {fingerprint: 'f', targetIds: ['t', 'u'], untilMs: 5};
  const message = {...heartbeat, suspicions: [{...suspicion, repeatTargetIds: ['u']}]};
  const relayed = [
    {
      nameHash: 2 ** 32 - 1,
      startedAtMs: 1_764_000_000_000,
      sequence: 7,
      state: 'leaving',
      ageMs: 9,
    },
    {nameHash: 0, startedAtMs: 0, sequence: 2 ** 32 - 1, state: 'starting', ageMs: 65_535},
  ] as const;
  test('decodes what it encodes', () => {
    const answers = [{fingerprint: 'g', answeredAtMs: 6}];
    const lostAt = {lostAtMs: [3, 4], repeatLostAtMs: [4]};
    const suspicions = message.suspicions.map(told => ({...told, ...lostAt}));
    const full = {...message, suspicions, relayed, answers};
    expect(decodePeerMessage(encodePeerMessage(full))).toEqual(full);
  });

  /** Guards against a gateway that ends because it passes on a heartbeat with impossible numbers. */
  test.each([{startedAtMs: -1}, {startedAtMs: 0.5}, {startedAtMs: 2 ** 48}, {sequence: 2 ** 32}])(
    'leaves out a passed-on heartbeat with %j',
    changes => {
      const [first, second] = relayed;
      const full = {...message, relayed: [{...first, ...changes}, second], answers: []};
      expect(decodePeerMessage(encodePeerMessage(full))?.relayed).toEqual([second]);
    },
  );

  // Guards against ignoring gateways of an earlier version during an update.
  test('decodes a heartbeat that passes nothing on', () => {
    expect(decodePeerMessage(JSON.stringify(message))).toEqual({
      ...message,
      relayed: [],
      answers: [],
    });
  });

  // Guards against ignoring the losses that a gateway of an earlier version reports during an update.
  test('counts all targets of a suspicion that does not distinguish repeats', () => {
    const text = JSON.stringify({...message, suspicions: [suspicion]});
    const expected = {...suspicion, repeatTargetIds: ['t', 'u']};
    expect(decodePeerMessage(text)?.suspicions).toEqual([expected]);
  });

  const unreadable: ReadonlyArray<readonly [string, string]> = [
    ['no JSON', '{'],
    ['a list', '[]'],
    ['no name', JSON.stringify({...message, name: undefined})],
    ['no state', JSON.stringify({...message, state: undefined})],
    ['a negative sequence', JSON.stringify({...message, sequence: -1})],
    ['half a row of a passed-on heartbeat', JSON.stringify({...message, relayed: 'AAAA'})],
  ];
  test.each(unreadable)('rejects %s', (_name, text) => {
    expect(decodePeerMessage(text)).toBeUndefined();
  });

  // Guards against taking a gateway of a later build for dead, or for one that serves callers.
  test.each([
    ['its own state', {state: 'resting'}],
    ['the state of a passed-on heartbeat', {relayed: Buffer.alloc(17, 9).toString('base64')}],
  ])('reads a state that it does not know as starting: %s', (_name, changes) => {
    const decoded = decodePeerMessage(JSON.stringify({...message, state: 'starting', ...changes}));
    expect(decoded?.state).toBe('starting');
    for (const {state} of decoded?.relayed ?? []) expect(state).toBe('starting');
  });

  // Guards against losing a whole heartbeat because of an entry of a later build, and against believing a broken entry.
  const lostAtOne = {...message.suspicions[0], lostAtMs: [1]};
  test.each([
    ['a broken answer', {answers: [{fingerprint: 'f'}, {fingerprint: 'g', answeredAtMs: 6}]}],
    ['a broken suspicion', {suspicions: [...message.suspicions, {fingerprint: 'f'}]}],
    ['no time of each loss', {suspicions: [...message.suspicions, lostAtOne]}],
  ])('leaves out what it cannot read and keeps the rest: %s', (_name, changes) => {
    const decoded = decodePeerMessage(JSON.stringify({...message, ...changes}));
    expect(decoded?.unreadableEntries).toBe(1);
    expect(decoded?.suspicions).toEqual(message.suspicions);
    expect(decoded?.answers).toEqual(
      'answers' in changes ? [{fingerprint: 'g', answeredAtMs: 6}] : [],
    );
  });

  interface RemovalCase {
    readonly name: string;
    /** Heartbeat after the removal of the record; none if undefined. */
    readonly heard: Partial<PeerHeartbeat> | undefined;
    readonly silentForMs: number;
    readonly isKnown: boolean;
  }

  const removals: readonly RemovalCase[] = [
    {name: 'is silent', heard: undefined, silentForMs: 0, isKnown: false},
    {name: 'still leaves', heard: {state: 'leaving'}, silentForMs: 0, isKnown: false},
    {name: 'goes on', heard: {}, silentForMs: 0, isKnown: true},
    {name: 'has started again', heard: {startedAtMs: 200}, silentForMs: 0, isKnown: true},
    {
      name: 'has started again and fallen silent',
      heard: {startedAtMs: 200},
      silentForMs: heartbeatTimeoutMs + 1,
      isKnown: false,
    },
  ];

  /**
   * Guards against a gateway that the store turns away while another one starts again: it takes that one for gone, and both own
   * the quota of a workspace.
   */
  test.each(removals)('a gateway without a record that $name', ({heard, silentForMs, isKnown}) => {
    const {time, table, serving} = setUp();
    table.recordHeartbeat({...heartbeat, sequence: 1});
    time.advance(10);
    table.apply({
      changes: [{object: {name: 'p', revision: 2, content: record('p')}, deleted: true}],
      revision: 2,
    });
    time.advance(10);
    if (heard !== undefined) table.recordHeartbeat({...heartbeat, sequence: 2, ...heard});
    time.advance(silentForMs);
    expect(table.findGateway('p') !== undefined).toBe(isKnown);
    expect(serving().includes('p')).toBe(isKnown);
    expect(
      table
        .otherGateways()
        .map(({name}) => name)
        .includes('p'),
    ).toBe(isKnown);
    expect(table.isGatewayHost('127.0.0.1')).toBe(true);
  });
});
