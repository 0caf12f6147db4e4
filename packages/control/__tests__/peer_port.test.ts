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

/** Calls a method with an empty message and returns the error code; undefined if the call succeeds. */
async function callErrorCode(clients: PeerClients, service: DescService, method: string) {
  const client = clients.clientFor(service, control.settings.peers) as unknown as Record<
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

// Guards against claims, configurations and memberships that anyone on the network can change.
it.each(methods)('$name refuses calls that are signed with another key', async rpc => {
  const unauthorizedClients = new PeerClients({
    peerKey: 'another-key-of-some-length',
    timeoutMs: 5000,
  });
  expect(await callErrorCode(unauthorizedClients, rpc.service, rpc.method)).toBe(
    Code.Unauthenticated,
  );
  unauthorizedClients.close();
});

it.each(methods)(
  '$name answers an empty, correctly signed call without an internal error',
  async rpc => {
    const clients = new PeerClients({peerKey, timeoutMs: 5000});
    const code = await callErrorCode(clients, rpc.service, rpc.method);
    expect([undefined, Code.InvalidArgument]).toContain(code);
    clients.close();
  },
);
