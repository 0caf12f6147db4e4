/**
 * Measures one membership with synthetic peers: CPU time, messages and bytes per second of virtual time, and memory
 * per member, by the number of members. Run with `npm run measure:membership`.
 */
import console from 'node:console';
import process from 'node:process';
import {create, toBinary} from '@bufbuild/protobuf';
import logger from '@cuminsill/logger';
import membershipPackage from '@cuminsill/membership';
import protocol from '@cuminsill/protocol';
import utils from '@cuminsill/utils';
import {Duration, Effect, Exit, Scope} from 'effect';
import standins from '@cuminsill/standins';

const {HeartbeatReplySchema, HeartbeatRequestSchema, InstanceViewSchema} = protocol;
const memberCounts = [10, 100, 1_000, 3_500];
const regionCount = 21;
const warmUpMs = 60_000;
const measuredMs = 300_000;
/** 200 restarts a day in a fleet of 3,500 instances. */
const changesPerMemberAndS = 200 / 3_500 / 86_400;

function createInstance(index) {
  const host = `10.0.${index >> 8}.${index & 255}`;
  const regionId = `region-${index % Math.min(regionCount, 3 + (index % 18))}`;
  const address = port => ({host, port});
  return {
    id: `instance-${index}`,
    regionId,
    failureDomainId: `${regionId}-a`,
    callerAddress: address(7000),
    entryPeerAddress: address(7001),
    controlPeerAddress: address(7002),
  };
}

function createInstanceView(instance, incarnation) {
  return create(InstanceViewSchema, {
    instanceId: instance.id,
    regionId: instance.regionId,
    failureDomainId: instance.failureDomainId,
    callerHost: instance.callerAddress.host,
    callerPort: instance.callerAddress.port,
    entryPeerHost: instance.entryPeerAddress.host,
    entryPeerPort: instance.entryPeerAddress.port,
    controlPeerHost: instance.controlPeerAddress.host,
    controlPeerPort: instance.controlPeerAddress.port,
    state: 'serving',
    reachability: 'reachable',
    incarnation: BigInt(incarnation),
    configVersion: 1_000n,
  });
}

function heapBytes() {
  globalThis.gc();
  return process.memoryUsage().heapUsed;
}

function measureMembership(memberCount) {
  const time = new standins.VirtualTime();
  const random = utils.seededRandom(7);
  const instances = Array.from({length: memberCount}, (_, index) => createInstance(index));
  const byHost = new Map(
    instances.map((instance, index) => [instance.controlPeerAddress.host, index]),
  );
  const incarnations = instances.map(() => 1);
  const counts = {messages: 0, bytes: 0};
  const count = (schema, message) => {
    counts.messages += 1;
    counts.bytes += toBinary(schema, message).byteLength;
  };
  let changedMembers = [];
  const randomMember = () => Math.floor(random.next() * memberCount);
  const messagePartsOf = index => {
    const others = [...changedMembers.slice(-10), randomMember()].filter(other => other !== 0);
    return {
      own: createInstanceView(instances[index], incarnations[index]),
      updates: others.map(other => createInstanceView(instances[other], incarnations[other])),
    };
  };
  const heartbeat = (address, request) => {
    count(HeartbeatRequestSchema, request);
    const {own, updates} = messagePartsOf(byHost.get(address.host));
    const reply = create(HeartbeatReplySchema, {responder: own, updates});
    count(HeartbeatReplySchema, reply);
    return Effect.sleep(Duration.millis(2)).pipe(Effect.as(reply));
  };
  const heapBefore = heapBytes();
  const scope = Effect.runSync(Scope.make());
  const fiber = time.fork(
    membershipPackage.Membership.start({
      self: instances[0],
      transport: {heartbeat},
      seedPeers: [],
      listedInstances: () => [],
      random: utils.seededRandom(3),
      logger: logger.silentLogger,
      metrics: logger.silentMetrics,
    }).pipe(Scope.extend(scope)),
  );
  const membership = Exit.getOrElse(fiber.unsafePoll(), () => undefined);
  membership.setOwnState('serving');
  const receiveFrom = (index, extra = []) => {
    const {own, updates} = messagePartsOf(index);
    const request = create(HeartbeatRequestSchema, {sender: own, updates: [...updates, ...extra]});
    count(HeartbeatRequestSchema, request);
    count(HeartbeatReplySchema, membership.receive(request));
  };
  for (let start = 1; start < memberCount; start += 100) {
    const batch = instances.slice(start, start + 100);
    receiveFrom(
      start,
      batch.map(instance => createInstanceView(instance, 1)),
    );
  }
  const senders = Math.min(6, memberCount - 1);
  const simulateSecond = () => {
    if (random.next() < changesPerMemberAndS * memberCount) {
      const member = 1 + Math.floor(random.next() * (memberCount - 1));
      incarnations[member] += 1;
      changedMembers.push(member);
      if (changedMembers.length > 10) changedMembers = changedMembers.slice(-10);
    }
    for (let sender = 1; sender <= senders; sender += 1) receiveFrom(sender);
    time.after(1_000, simulateSecond);
  };
  time.after(0, simulateSecond);
  time.advance(warmUpMs);
  Object.assign(counts, {messages: 0, bytes: 0});
  const heapAfterWarmUp = heapBytes();
  const cpuBefore = process.cpuUsage();
  time.advance(measuredMs);
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = measuredMs / 1_000;
  const result = {
    members: membership.members().length,
    cpuMsPerS: round((cpu.user + cpu.system) / 1_000 / seconds),
    messagesPerS: round(counts.messages / seconds),
    bytesPerS: Math.round(counts.bytes / seconds),
    heapBytesPerMember: Math.round((heapAfterWarmUp - heapBefore) / memberCount),
    heapGrowthBytesPerS: Math.round((heapBytes() - heapAfterWarmUp) / seconds),
  };
  time.fork(Scope.close(scope, Exit.void));
  return result;
}

function round(value) {
  return Math.round(value * 1_000) / 1_000;
}

measureMembership(100);
const results = memberCounts.map(measureMembership);
console.table(results);
console.log(JSON.stringify({measurement: 'membership', node: process.version, results}));
