import type {DescService} from '@bufbuild/protobuf';
import {Code, ConnectError} from '@connectrpc/connect';
import {
  ClaimService,
  ConfigService,
  MembershipService,
  PeerClients,
  SnapshotService,
  StatusService,
} from '@cuminsill/protocol';
import {ControlFixture, peerKey} from '../__fixtures__/control_fixture';

const control = new ControlFixture();

beforeAll(() => control.start());

afterAll(() => control.stop());

/** Calls a method with an empty message; returns the code of the error, or undefined. */
async function callCode(clients: PeerClients, service: DescService, method: string) {
  const client = clients.of(service, control.settings.peers) as unknown as Record<
    string,
    (request: object) => Promise<unknown> | AsyncIterable<unknown>
  >;
  try {
    const reply = client[method]?.({});
    if (reply !== undefined && Symbol.asyncIterator in reply) {
      for await (const _message of reply) return undefined;
    }
    await reply;
    return undefined;
  } catch (error) {
    return ConnectError.from(error).code;
  }
}

const methods = [
  ClaimService,
  ConfigService,
  MembershipService,
  SnapshotService,
  StatusService,
].flatMap(service =>
  service.methods.map(method => ({
    name: `${service.typeName}/${method.name}`,
    service: service as DescService,
    method: method.localName,
  })),
);

// Guards against claims, configurations and memberships that a stranger on the network can change.
it.each(methods)('$name refuses calls that are signed with another key', async one => {
  const strangers = new PeerClients({peerKey: 'another-key-of-some-length', timeoutMs: 5000});
  expect(await callCode(strangers, one.service, one.method)).toBe(Code.Unauthenticated);
  strangers.close();
});

it.each(methods)('$name answers an empty call that is signed', async one => {
  const peers = new PeerClients({peerKey, timeoutMs: 5000});
  const code = await callCode(peers, one.service, one.method);
  expect([undefined, Code.InvalidArgument]).toContain(code);
  peers.close();
});
