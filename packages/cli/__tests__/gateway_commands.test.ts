/** Commands for gateways on the users' platform, which read logs, a status page and settings files. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {runCli} from '../src/run_cli';

let folder: string;
let server: http.Server;
let page: string;

const statusPage = {
  gateway: 'gateway-1',
  configVersion: 9,
  feeds: [
    {kind: 'targets', ageMs: 63.4},
    {kind: 'evacuations', ageMs: undefined},
  ],
  evacuatedDomains: ['a-2'],
  gateways: ['gateway-1', 'gateway-2'],
  routes: [
    {
      name: 'read',
      host: 'one.example',
      pathPrefix: '/read/',
      repeat: 'idempotent',
      timeoutMs: 1_000,
      maxTargets: 2,
      services: [
        {service: 'pages', weight: 3},
        {service: 'files', weight: 1},
      ],
    },
  ],
  targets: [
    {
      id: 'i-0',
      service: 'pages',
      failureDomain: 'a-1',
      state: 'draining',
      inFlight: 2,
      estimatedLoad: 2.5,
      failureRate: 0.25,
      slowness: 1.1,
    },
  ],
  retries: [{service: 'pages', earned: 1, slackLeft: 4}],
};

const logLine = {
  line: 'request',
  gateway: 'gateway-1',
  time: '2026-12-04T00:00:00.000Z',
  requestId: 'r-1',
  outcome: 'overloaded',
  status: 503,
  elapsedMs: 2,
  tries: [],
};

beforeAll(async () => {
  folder = mkdtempSync(join(tmpdir(), 'cuminsill-gateway-'));
  writeFileSync(join(folder, 'gateway.log'), `${JSON.stringify(logLine)}\n`);
  writeFileSync(join(folder, 'wrong.json'), '{"name": 7}');
  server = http.createServer((_request, response) => response.end(JSON.stringify(statusPage)));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  page = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(() => {
  server.closeAllConnections();
  server.close();
  rmSync(folder, {recursive: true});
});

async function run(args: readonly string[]): Promise<readonly [number, string, string]> {
  let out = '';
  let errors = '';
  const exitCode = await runCli(args, {
    print: text => void (out += text),
    printError: text => void (errors += text),
    ask: () => Promise.resolve(undefined),
    sleep: () => Promise.resolve(false),
    environment: {},
  });
  return [exitCode, out, errors];
}

interface GatewayCase {
  readonly name: string;
  readonly args: () => readonly string[];
  readonly exitCode: number;
  readonly out?: readonly string[];
  readonly errors?: string;
}

const cases: readonly GatewayCase[] = [
  {
    name: 'explain tells the story of a request',
    args: () => ['gateway', 'explain', 'r-1', '--log', join(folder, 'gateway.log')],
    exitCode: 0,
    out: ['request r-1 at gateway gateway-1', 'refused with 503 after 2 ms, 5008 overloaded'],
  },
  {
    name: 'explain --output json gives the story as data',
    args: () => [
      '--output',
      'json',
      'gateway',
      'explain',
      'r-1',
      '--log',
      join(folder, 'gateway.log'),
    ],
    exitCode: 0,
    out: ['"outcome":"overloaded"'],
  },
  {
    name: 'explain says that no log has the request',
    args: () => ['gateway', 'explain', 'r-2', '--log', join(folder, 'gateway.log')],
    exitCode: 1,
    errors: 'no line about request r-2',
  },
  {
    name: 'explain names a log that cannot be read',
    args: () => ['gateway', 'explain', 'r-1', '--log', join(folder, 'missing.log')],
    exitCode: 2,
    errors: 'missing.log',
  },
  {
    name: 'status shows ages, routes, targets and what is left for retries',
    args: () => ['gateway', 'status', page],
    exitCode: 0,
    out: [
      'evacuated        a-2',
      'targets         63 ms',
      'evacuations     never read',
      'pages 75.0 %, files 25.0 %',
      'draining',
      'SLACK LEFT',
    ],
  },
  {
    name: 'status says that nobody answers',
    args: () => ['--timeout-s', '1', 'gateway', 'status', '127.0.0.1:1'],
    exitCode: 3,
    errors: 'no status at http://127.0.0.1:1/status',
  },
  {
    name: 'check names every problem of a settings file',
    args: () => ['gateway', 'check', join(folder, 'wrong.json')],
    exitCode: 2,
    errors: 'name is 7; expected a text',
  },
];

test.each(cases)('$name', async ({args, exitCode, out = [], errors = ''}) => {
  const [code, printed, printedErrors] = await run(args());
  expect([code, printedErrors.includes(errors)]).toEqual([exitCode, true]);
  for (const part of out) expect(printed).toContain(part);
});
