import {readFileSync} from 'node:fs';
import * as fc from 'fast-check';
import {Code, ConnectError} from '@connectrpc/connect';
import type {DescService} from '@bufbuild/protobuf';
import {
  ClaimService,
  ConfigService,
  MembershipService,
  PeerClients,
  SlotService,
  SnapshotService,
  StatusService,
} from '@cuminsill/protocol';
import type {SocketAddress} from '@cuminsill/types';
import {parseFirstResponse, sendRawBytes} from '../__fixtures__/send_raw_bytes';
import type {DaemonName} from '../src';
import {
  fuzzSettings,
  operatorToken,
  peerKey,
  requestPlan,
  sendCallerRequest,
  sendOperatorRequest,
  sendOrder,
  SystemHarness,
} from '../src';

jest.setTimeout(Math.max(180_000, 100 * Number(process.env['CUMINSILL_FUZZ_RUNS'] ?? 0)));

let system: SystemHarness;
let initialBytes: Readonly<Record<DaemonName, number>>;

beforeAll(async () => {
  system = await SystemHarness.start();
  await system.startAll();
  initialBytes = residentBytes();
});

afterAll(() => system.stop());

afterEach(() => {
  for (const daemon of ['entry', 'control'] as const) {
    const daemonProcess = system.process(0, daemon);
    if (!daemonProcess.isRunning()) throw new Error(`${daemon} exited: ${daemonProcess.output()}`);
  }
});

function residentBytes(): Readonly<Record<DaemonName, number>> {
  const bytesOf = (daemon: DaemonName) => {
    const status = readFileSync(`/proc/${system.process(0, daemon).processId()}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1]) * 1024;
  };
  return {entry: bytesOf('entry'), control: bytesOf('control')};
}

const headerName = fc.constantFrom(
  'idempotency-key',
  'x-request-timeout-ms',
  'x-tenant',
  'content-length',
  'transfer-encoding',
  'expect',
  'connection',
  'upgrade',
  'host',
);
const headerValue = fc.oneof(
  fc.string({maxLength: 40}),
  fc.constantFrom('1', '-1', '1e9', 'chunked', '100-continue', 'close', 'keep-alive, upgrade', ''),
);
const path = fc.oneof(
  fc.constantFrom('/v1/lookup', '/v1/lookup?service=reads', '/svc/reads/a', '/svc/orders/a'),
  fc.constantFrom('/v1/outcomes/%ff?service=orders', '/readyz', '*', 'http://[::1', '/svc//'),
  fc.string({maxLength: 60}).map(text => `/${text}`),
);
const halfValidHttp = fc
  .record({
    method: fc.constantFrom('GET', 'POST', 'HEAD', 'PUT', 'CONNECT', 'OPTIONS', 'TRACE', 'X'),
    path,
    version: fc.constantFrom('HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0', 'HTTP/1.1 x'),
    headers: fc.array(fc.tuple(headerName, headerValue), {maxLength: 5}),
    lineEnding: fc.constantFrom('\r\n', '\r\n', '\r\n', '\n'),
    body: fc.string({maxLength: 100}),
  })
  .map(({method, path: target, version, headers, lineEnding, body}) => {
    const lines = [`${method} ${target} ${version}`, 'host: x', 'x-request-timeout-ms: 500'];
    const headerLines = headers.map(([name, value]) => `${name}: ${value}`);
    return Buffer.from([...lines, ...headerLines, '', body].join(lineEnding), 'latin1');
  });
const rawBytes = fc.uint8Array({maxLength: 300}).map(bytes => Buffer.from(bytes));

/** Returns the result code of a refusal in a raw response; undefined if the response has none. */
function resultCodeIn(received: Buffer): number | undefined {
  const body = parseFirstResponse(received)?.body ?? '';
  const code = /"code":(\d+)/.exec(body)?.[1];
  return code === undefined ? undefined : Number(code);
}

/** Expects a response that is either successful or carries a result code, or a closed connection without any data. */
function expectResultCodeOrClose(received: Buffer): void {
  const response = parseFirstResponse(received);
  const code = resultCodeIn(received);
  if (response === undefined) expect(received.length).toBe(0);
  // The response to a HEAD request carries the code in a header only.
  else if (response.status >= 400) expect(received.toString('latin1')).toContain('x-result-code: ');
  expect(code).not.toBe(5001);
}

// Guards against input of a caller that crashes the entry, causes an internal error, or makes it hang.
it.each([
  ['raw bytes', rawBytes],
  ['half-valid HTTP', halfValidHttp],
])('the caller port survives %s', async (_name, bytes) => {
  const {callerAddress} = system.instance(0);
  await fc.assert(
    fc.asyncProperty(bytes, async sent =>
      expectResultCodeOrClose(await sendRawBytes(callerAddress, sent)),
    ),
    fuzzSettings(120),
  );
  expect((await sendCallerRequest(callerAddress, {path: '/svc/reads/after'})).status).toBe(200);
});

// Guards against JSON of an operator that crashes the control process or causes an internal error.
it.each(['/v1/plans', '/v1/plans/confirm'])(
  '%s survives arbitrary JSON and arbitrary bytes',
  async route => {
    const plan = (
      await requestPlan(system.operatorAddress(0), {action: 'remove', intentId: 'none'})
    ).body;
    const fuzzValue = fc.oneof(
      fc.jsonValue(),
      fc.constantFrom(null, {}, [], 'put', 'remove', 1e308),
    );
    const body = fc.oneof(
      fc.jsonValue(),
      fc.record(
        {action: fuzzValue, intent: fuzzValue, intentId: fuzzValue, catalog: fuzzValue},
        {requiredKeys: []},
      ),
      fc
        .tuple(fc.constantFrom(...Object.keys(plan)), fuzzValue)
        .map(([field, value]) => ({plan: {...plan, [field]: value}})),
    );
    await fc.assert(
      fc.asyncProperty(body, async sent => {
        const reply = await sendOperatorRequest(system.operatorAddress(0), 'POST', route, sent);
        const isAccepted = reply.status < 300;
        expect(isAccepted || [4003, 4004, 4005].includes(reply.body.code ?? 0)).toBe(true);
      }),
      fuzzSettings(120),
    );
    const rawRequest = (content: Uint8Array) =>
      Buffer.concat([
        Buffer.from(
          `POST ${route} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n` +
            `authorization: Bearer ${operatorToken}\r\ncontent-length: ${content.length}\r\n\r\n`,
        ),
        content,
      ]);
    await fc.assert(
      fc.asyncProperty(rawBytes, async sent => {
        const code = resultCodeIn(await sendRawBytes(system.operatorAddress(0), rawRequest(sent)));
        expect(code).toBe(4003);
      }),
      fuzzSettings(60),
    );
  },
);

const services: ReadonlyArray<readonly [DaemonName, DescService]> = [
  ['control', ClaimService],
  ['control', ConfigService],
  ['control', MembershipService],
  ['control', SnapshotService],
  ['control', StatusService],
  ['entry', SlotService],
];

function peerAddress(daemon: DaemonName): SocketAddress {
  const {controlPeerAddress, entryPeerAddress} = system.instance(0);
  return daemon === 'control' ? controlPeerAddress : entryPeerAddress;
}

const unaryMethods = services.flatMap(([daemon, service]) =>
  service.methods
    .filter(method => method.methodKind === 'unary')
    .map(method => ({name: `${service.typeName}/${method.name}`, daemon, service, method})),
);

const stringValue = fc.oneof(fc.string({maxLength: 40}), fc.constant(''), fc.constant('serving'));
const bigIntValue = fc.constantFrom(0n, 1n, (1n << 63n) - 1n, 1n << 53n);

/** Generates values of a protobuf scalar type, given by its number in `ScalarType`, for example 9 for strings. */
function anyScalar(scalarType: string): fc.Arbitrary<unknown> {
  if (/^(9)$/.test(scalarType)) return stringValue;
  if (/^(12)$/.test(scalarType)) return fc.uint8Array({maxLength: 60});
  if (/^(3|4|6|16|18)$/.test(scalarType)) return bigIntValue;
  if (/^(8)$/.test(scalarType)) return fc.boolean();
  if (/^(1|2)$/.test(scalarType)) return fc.double();
  return fc.nat();
}

type MessageType = DescService['methods'][number]['input'];

/** Generates messages whose fields have the declared types and arbitrary values. */
function anyMessage(type: MessageType, depth = 0): fc.Arbitrary<object> {
  const fields = type.fields.flatMap((field): ReadonlyArray<[string, fc.Arbitrary<unknown>]> => {
    if (field.fieldKind === 'scalar') return [[field.localName, anyScalar(String(field.scalar))]];
    if (field.fieldKind === 'message' && depth < 2) {
      return [[field.localName, anyMessage(field.message, depth + 1)]];
    }
    if (field.fieldKind !== 'list' || depth >= 2) return [];
    const element =
      field.listKind === 'scalar'
        ? anyScalar(String(field.scalar))
        : field.listKind === 'message'
          ? anyMessage(field.message, depth + 1)
          : undefined;
    return element === undefined ? [] : [[field.localName, fc.array(element, {maxLength: 3})]];
  });
  return fc.record(Object.fromEntries(fields), {requiredKeys: []});
}

// Guards against a broken or hostile peer that crashes other instances.
describe('the peer services', () => {
  it.each(unaryMethods)('$name survives arbitrary field values', async rpc => {
    const clients = new PeerClients({peerKey, timeoutMs: 30_000});
    const client = clients.clientFor(rpc.service, peerAddress(rpc.daemon)) as unknown as Record<
      string,
      (request: object) => Promise<unknown>
    >;
    await fc.assert(
      fc.asyncProperty(anyMessage(rpc.method.input), async message => {
        const code = await (client[rpc.method.localName] as (request: object) => Promise<unknown>)(
          message,
        ).then(
          () => undefined,
          (error: unknown) => ConnectError.from(error).code,
        );
        expect([undefined, Code.InvalidArgument, Code.OutOfRange]).toContain(code);
      }),
      fuzzSettings(25),
    );
    clients.close();
  });

  it.each(['control', 'entry'] as const)('of %s survive raw bytes', async daemon => {
    await fc.assert(
      fc.asyncProperty(rawBytes, async sent => {
        await sendRawBytes(peerAddress(daemon), sent);
      }),
      fuzzSettings(60),
    );
  });
});

it('leaves the system working, with bounded memory', async () => {
  expect(
    (await sendCallerRequest(system.instance(0).callerAddress, {path: '/svc/reads/end'})).status,
  ).toBe(200);
  expect((await sendOrder(system.instance(1), 'after-fuzzing')).status).toBe(200);
  expect(system.output()).not.toMatch(/system-tests-(peer-key|operator-token|viewer-token)/);
  const finalBytes = residentBytes();
  // Far above the growth from buffers and compiled code, and far below that from 300 retained bodies of a megabyte.
  const maxGrowthBytes = 300 * 1024 * 1024;
  expect(finalBytes.entry - initialBytes.entry).toBeLessThan(maxGrowthBytes);
  expect(finalBytes.control - initialBytes.control).toBeLessThan(maxGrowthBytes);
});
