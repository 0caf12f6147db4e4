/** Tests the `gateway` commands, which read logs, a status page and settings files of gateways. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {runCli} from '../src/run_cli';

let testDirectory: string;
let server: http.Server;
let statusAddress: string;

const gatewayStatus = {
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
  testDirectory = mkdtempSync(join(tmpdir(), 'cuminsill-gateway-'));
  writeFileSync(join(testDirectory, 'gateway.log'), `${JSON.stringify(logLine)}\n`);
  writeFileSync(join(testDirectory, 'wrong.json'), '{"name": 7}');
  server = http.createServer((_request, response) => response.end(JSON.stringify(gatewayStatus)));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  statusAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(() => {
  server.closeAllConnections();
  server.close();
  rmSync(testDirectory, {recursive: true});
});

async function runCommand(args: readonly string[]): Promise<readonly [number, string, string]> {
  let stdout = '';
  let stderr = '';
  const exitCode = await runCli(args, {
    print: text => void (stdout += text),
    printError: text => void (stderr += text),
    ask: () => Promise.resolve(undefined),
    sleep: () => Promise.resolve(false),
    environment: {},
  });
  return [exitCode, stdout, stderr];
}

interface GatewayCase {
  readonly name: string;
  readonly args: () => readonly string[];
  readonly exitCode: number;
  readonly stdout?: readonly string[];
  readonly stderr?: string;
}

const cases: readonly GatewayCase[] = [
  {
    name: 'explain shows how a request was handled',
    args: () => ['gateway', 'explain', 'r-1', '--log', join(testDirectory, 'gateway.log')],
    exitCode: 0,
    stdout: ['request r-1 at gateway gateway-1', 'refused with 503 after 2 ms, 5008 overloaded'],
  },
  {
    name: 'explain --output json prints the explanation as JSON',
    args: () => [
      '--output',
      'json',
      'gateway',
      'explain',
      'r-1',
      '--log',
      join(testDirectory, 'gateway.log'),
    ],
    exitCode: 0,
    stdout: ['"outcome":"overloaded"'],
  },
  {
    name: 'explain fails when no log contains the request',
    args: () => ['gateway', 'explain', 'r-2', '--log', join(testDirectory, 'gateway.log')],
    exitCode: 1,
    stderr: 'no line about request r-2',
  },
  {
    name: 'explain names a log that cannot be read',
    args: () => ['gateway', 'explain', 'r-1', '--log', join(testDirectory, 'missing.log')],
    exitCode: 2,
    stderr: 'missing.log',
  },
  {
    name: 'losses counts lost requests by reason',
    args: () => ['gateway', 'losses', '--log', join(testDirectory, 'gateway.log')],
    exitCode: 0,
    stdout: ['1 logged requests; 0 lines were not written', 'unexplained         1      100'],
  },
  {
    name: 'losses names a log that cannot be read',
    args: () => ['gateway', 'losses', '--log', join(testDirectory, 'missing.log')],
    exitCode: 2,
    stderr: 'missing.log',
  },
  {
    name: 'losses refuses a log without requests',
    args: () => ['gateway', 'losses', '--log', join(testDirectory, 'wrong.json')],
    exitCode: 1,
    stderr: 'no lines about requests',
  },
  {
    name: 'losses refuses a window without length',
    args: () => ['gateway', 'losses', '--log', 'any', '--window-s', '0'],
    exitCode: 2,
    stderr: 'seconds above 0',
  },
  {
    name: 'status shows ages, routes, targets and the remaining retry budget',
    args: () => ['gateway', 'status', statusAddress],
    exitCode: 0,
    stdout: [
      'evacuated        a-2',
      'targets         63 ms',
      'evacuations     never read',
      'pages 75.0 %, files 25.0 %',
      'draining',
      'SLACK LEFT',
    ],
  },
  {
    name: 'status fails when the gateway does not answer',
    args: () => ['--timeout-s', '1', 'gateway', 'status', '127.0.0.1:1'],
    exitCode: 3,
    stderr: 'no status at http://127.0.0.1:1/status',
  },
  {
    name: 'check lists every problem of a settings file',
    args: () => ['gateway', 'check', join(testDirectory, 'wrong.json')],
    exitCode: 2,
    stderr: 'name is 7; expected a text',
  },
];

test.each(cases)('$name', async ({args, exitCode, stdout = [], stderr = ''}) => {
  const [code, printedOutput, printedErrors] = await runCommand(args());
  expect([code, printedErrors.includes(stderr)]).toEqual([exitCode, true]);
  for (const part of stdout) expect(printedOutput).toContain(part);
});
