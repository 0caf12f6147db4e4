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
import {firstAnswer, rawExchange} from '../__fixtures__/raw_exchange';
import type {DaemonName} from '../src';
import {
  askOperators,
  askPlan,
  fuzzSettings,
  operatorToken,
  peerKey,
  sendOrder,
  sendTo,
  SystemHarness,
} from '../src';

jest.setTimeout(Math.max(180_000, 100 * Number(process.env['CUMINSILL_FUZZ_RUNS'] ?? 0)));

let system: SystemHarness;
let residentBefore: Readonly<Record<DaemonName, number>>;

beforeAll(async () => {
  system = await SystemHarness.start();
  await system.startAll();
  residentBefore = residentBytes();
});

afterAll(() => system.stop());

afterEach(() => {
  for (const daemon of ['entry', 'control'] as const) {
    const one = system.process(0, daemon);
    if (!one.isRunning()) throw new Error(`${daemon} ended: ${one.written()}`);
  }
});

function residentBytes(): Readonly<Record<DaemonName, number>> {
  const of = (daemon: DaemonName) => {
    const status = readFileSync(`/proc/${system.process(0, daemon).processId()}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1]) * 1024;
  };
  return {entry: of('entry'), control: of('control')};
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
    lineEnd: fc.constantFrom('\r\n', '\r\n', '\r\n', '\n'),
    body: fc.string({maxLength: 100}),
  })
  .map(({method, path: target, version, headers, lineEnd, body}) => {
    const lines = [`${method} ${target} ${version}`, 'host: x', 'x-request-timeout-ms: 500'];
    const named = headers.map(([name, value]) => `${name}: ${value}`);
    return Buffer.from([...lines, ...named, '', body].join(lineEnd), 'latin1');
  });
const rawBytes = fc.uint8Array({maxLength: 300}).map(bytes => Buffer.from(bytes));

/** The code of a refusal in a raw answer; undefined for answers without one. */
function codeIn(received: Buffer): number | undefined {
  const body = firstAnswer(received)?.body ?? '';
  const code = /"code":(\d+)/.exec(body)?.[1];
  return code === undefined ? undefined : Number(code);
}

function expectNumberedOrClosed(received: Buffer): void {
  const answer = firstAnswer(received);
  const code = codeIn(received);
  if (answer === undefined) expect(received.length).toBe(0);
  // A HEAD request gets the code in a header only.
  else if (answer.status >= 400) expect(received.toString('latin1')).toContain('x-result-code: ');
  expect(code).not.toBe(5001);
}

// Guards against bytes of a caller that end the entry, make it fail internally, or leave it waiting.
it.each([
  ['raw bytes', rawBytes],
  ['half-valid HTTP', halfValidHttp],
])('the callers port survives %s', async (_name, bytes) => {
  const {callerAddress} = system.instance(0);
  await fc.assert(
    fc.asyncProperty(bytes, async sent =>
      expectNumberedOrClosed(await rawExchange(callerAddress, sent)),
    ),
    fuzzSettings(120),
  );
  expect((await sendTo(callerAddress, {path: '/svc/reads/after'})).status).toBe(200);
});

// Guards against JSON of an operator that ends the control process or makes it fail internally.
it.each(['/v1/plans', '/v1/plans/confirm'])('%s survives any JSON', async route => {
  const plan = (await askPlan(system.operators(0), {action: 'remove', intentId: 'none'})).body;
  const part = fc.oneof(fc.jsonValue(), fc.constantFrom(null, {}, [], 'put', 'remove', 1e308));
  const body = fc.oneof(
    fc.jsonValue(),
    fc.record({action: part, intent: part, intentId: part, catalog: part}, {requiredKeys: []}),
    fc
      .tuple(fc.constantFrom(...Object.keys(plan)), part)
      .map(([field, value]) => ({plan: {...plan, [field]: value}})),
  );
  await fc.assert(
    fc.asyncProperty(body, async sent => {
      const reply = await askOperators(system.operators(0), 'POST', route, sent);
      const isTaken = reply.status < 300;
      expect(isTaken || [4003, 4004, 4005].includes(reply.body.code ?? 0)).toBe(true);
    }),
    fuzzSettings(120),
  );
  const bytes = (content: Uint8Array) =>
    Buffer.concat([
      Buffer.from(
        `POST ${route} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n` +
          `authorization: Bearer ${operatorToken}\r\ncontent-length: ${content.length}\r\n\r\n`,
      ),
      content,
    ]);
  await fc.assert(
    fc.asyncProperty(rawBytes, async sent => {
      const code = codeIn(await rawExchange(system.operators(0), bytes(sent)));
      expect(code).toBe(4003);
    }),
    fuzzSettings(60),
  );
});

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

const fieldValue = fc.oneof(fc.string({maxLength: 40}), fc.constant(''), fc.constant('serving'));
const wholeNumber = fc.constantFrom(0n, 1n, (1n << 63n) - 1n, 1n << 53n);

function scalarOf(typeName: string): fc.Arbitrary<unknown> {
  if (/^(9)$/.test(typeName)) return fieldValue;
  if (/^(12)$/.test(typeName)) return fc.uint8Array({maxLength: 60});
  if (/^(3|4|6|16|18)$/.test(typeName)) return wholeNumber;
  if (/^(8)$/.test(typeName)) return fc.boolean();
  if (/^(1|2)$/.test(typeName)) return fc.double();
  return fc.nat();
}

type MessageType = DescService['methods'][number]['input'];

/** Messages whose fields have the right types and any values. Numbers are the scalar types of protobuf. */
function messageOf(type: MessageType, depth = 0): fc.Arbitrary<object> {
  const fields = type.fields.flatMap((field): ReadonlyArray<[string, fc.Arbitrary<unknown>]> => {
    if (field.fieldKind === 'scalar') return [[field.localName, scalarOf(String(field.scalar))]];
    if (field.fieldKind === 'message' && depth < 2) {
      return [[field.localName, messageOf(field.message, depth + 1)]];
    }
    if (field.fieldKind !== 'list' || depth >= 2) return [];
    const element =
      field.listKind === 'scalar'
        ? scalarOf(String(field.scalar))
        : field.listKind === 'message'
          ? messageOf(field.message, depth + 1)
          : undefined;
    return element === undefined ? [] : [[field.localName, fc.array(element, {maxLength: 3})]];
  });
  return fc.record(Object.fromEntries(fields), {requiredKeys: []});
}

// Guards against one broken or hostile peer that ends the others.
describe('the peer services', () => {
  it.each(unaryMethods)('$name survives any field values', async one => {
    const clients = new PeerClients({peerKey, timeoutMs: 30_000});
    const client = clients.of(one.service, peerAddress(one.daemon)) as unknown as Record<
      string,
      (request: object) => Promise<unknown>
    >;
    await fc.assert(
      fc.asyncProperty(messageOf(one.method.input), async message => {
        const code = await (client[one.method.localName] as (request: object) => Promise<unknown>)(
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
        await rawExchange(peerAddress(daemon), sent);
      }),
      fuzzSettings(60),
    );
  });
});

it('leaves the system working and its memory bounded', async () => {
  expect((await sendTo(system.instance(0).callerAddress, {path: '/svc/reads/end'})).status).toBe(
    200,
  );
  expect((await sendOrder(system.instance(1), 'after-fuzzing')).status).toBe(200);
  expect(system.written()).not.toMatch(/system-tests-(peer-key|operator-token|viewer-token)/);
  const after = residentBytes();
  // Far above what buffers and compiled code add, and far below what 300 kept bodies of a megabyte would.
  const allowedGrowth = 300 * 1024 * 1024;
  expect(after.entry - residentBefore.entry).toBeLessThan(allowedGrowth);
  expect(after.control - residentBefore.control).toBeLessThan(allowedGrowth);
});
