import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {generate} from 'selfsigned';
import {
  drainPlan,
  errorAnswer,
  FakeOperatorsApi,
  statusReply,
} from '../__fixtures__/fake_operators_api';
import type {FakeAnswer} from '../__fixtures__/fake_operators_api';
import {runCli} from '../src/run_cli';

const catalogFile = join(__dirname, '../../../examples/carpas/catalog.json');
const confirmRoute = 'POST /v1/plans/confirm';

interface CliCase {
  readonly args: string;
  readonly exitCode: number;
  readonly answers?: Readonly<Record<string, FakeAnswer>>;
  readonly terminalInput?: string;
  readonly environment?: Readonly<Record<string, string>>;
  /** Texts that standard output and standard error must contain. */
  readonly stdout?: readonly string[];
  readonly stderr?: readonly string[];
  /** Routes of the requests that the server must have received, in order. */
  readonly routes?: readonly string[];
}

interface CliRun {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

let testDirectory: string;
let api: FakeOperatorsApi;

const jsonFiles: Readonly<Record<string, unknown>> = {
  'intent.json': {kind: 'drain', id: 'drain-site-1', siteId: 'site-1'},
  'wrong.json': {kind: 'drain', id: 'Drain', siteId: 'site-1'},
  'plan.json': drainPlan,
};

beforeEach(() => {
  testDirectory = mkdtempSync(join(tmpdir(), 'cuminsill-cli-'));
  for (const [name, content] of Object.entries(jsonFiles)) {
    writeFileSync(join(testDirectory, name), JSON.stringify(content));
  }
  writeFileSync(join(testDirectory, 'token'), 'secret-1\n');
  writeFileSync(join(testDirectory, 'broken.json'), '{');
});

afterEach(async () => {
  await api.stop();
  rmSync(testDirectory, {recursive: true});
});

/** Returns a port on which nothing listens. */
async function closedPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Runs one case after replacing SERVER, CLOSED, DIR and CATALOG in its arguments. */
async function runCase(testCase: CliCase): Promise<CliRun> {
  api = await FakeOperatorsApi.start(testCase.answers);
  const port = await closedPort();
  const args = testCase.args
    .replaceAll('SERVER', `--server ${api.address}`)
    .replaceAll('CLOSED', `--server 127.0.0.1:${port}`)
    .replaceAll('DIR', testDirectory)
    .replaceAll('CATALOG', catalogFile)
    .split(' ');
  let stdout = '';
  let stderr = '';
  let sleeps = 0;
  const exitCode = await runCli(args, {
    print: text => void (stdout += text),
    printError: text => void (stderr += text),
    ask: async () => testCase.terminalInput,
    sleep: async () => (sleeps += 1) < 2,
    environment: testCase.environment ?? {},
  });
  return {exitCode, stdout, stderr};
}

async function checkCase(testCase: CliCase): Promise<void> {
  const result = await runCase(testCase);
  expect(result).toMatchObject({exitCode: testCase.exitCode});
  for (const part of testCase.stdout ?? []) expect(result.stdout).toContain(part);
  for (const part of testCase.stderr ?? []) expect(result.stderr).toContain(part);
  if (testCase.exitCode !== 0) expect(result.stderr).not.toBe('');
  if (testCase.routes !== undefined) {
    expect(api.receivedRequests.map(request => request.route)).toEqual(testCase.routes);
  }
}

// Guards against commands that send a wrong request or print an answer incorrectly.
const commandCases: readonly CliCase[] = [
  {
    args: 'SERVER intent plan DIR/intent.json',
    exitCode: 0,
    stdout: [
      'put drain intent drain-site-1',
      'este 75.0 %, litoral 25.0 %',
      'warning  site-1 serves',
    ],
    routes: ['POST /v1/plans'],
  },
  {
    args: 'SERVER intent plan DIR/intent.json --output json',
    exitCode: 0,
    stdout: ['{"digest":"digest-1"'],
  },
  {
    args: 'SERVER intent confirm DIR/plan.json',
    exitCode: 0,
    stdout: ['accepted: in force as configuration version 5'],
    routes: [confirmRoute],
  },
  {
    args: 'SERVER intent list',
    exitCode: 0,
    stdout: ['drain-site-1  drain  site site-1        5  ana           2023-11-14T22:13:20Z'],
  },
  {args: 'SERVER intent show drain-site-1', exitCode: 0, stdout: ['subject       site site-1']},
  {
    args: 'SERVER intent remove drain-site-1 --yes',
    exitCode: 0,
    routes: ['POST /v1/plans', confirmRoute],
  },
  {
    args: 'SERVER drain site-1',
    terminalInput: 'y',
    exitCode: 0,
    stdout: ['accepted'],
    routes: ['POST /v1/plans', confirmRoute],
  },
  {
    args: 'SERVER undrain site-1 --yes',
    exitCode: 0,
    routes: ['GET /v1/intents', 'POST /v1/plans', confirmRoute],
  },
  {
    args: 'SERVER status',
    exitCode: 0,
    stdout: ['store reachable  yes', 'drain-site-1  site-1          2  no', 'suspect'],
  },
  {
    args: 'SERVER status --watch --output json',
    exitCode: 0,
    stdout: [`${JSON.stringify(statusReply)}\n`.repeat(2)],
    routes: ['GET /v1/status', 'GET /v1/status'],
  },
  {args: 'SERVER explain r/1', exitCode: 0, stdout: ['result    2001 region-overloaded']},
  {
    args: 'SERVER catalog put CATALOG --yes',
    exitCode: 0,
    routes: ['POST /v1/plans', confirmRoute],
  },
  {args: 'SERVER lookup proofs', exitCode: 0, stdout: ['127.0.0.1  20000', 'valid for 5 s']},
  {args: 'settings check CATALOG', exitCode: 0, stdout: ['valid catalog']},
  {args: '--version', exitCode: 0, stdout: ['0.1.0']},
  {args: '--help', exitCode: 0, stdout: ['Usage: cuminsill']},
];

// Guards against exit codes that mislead scripts about whether something was changed.
const failureCases: readonly CliCase[] = [
  {args: 'SERVER drain site-1', terminalInput: 'n', exitCode: 1, routes: ['POST /v1/plans']},
  {args: 'SERVER drain site-1', exitCode: 2, stderr: ['--yes'], routes: ['POST /v1/plans']},
  {args: 'SERVER drain Site_1 --yes', exitCode: 2, stderr: ['lower-case'], routes: []},
  {
    args: 'SERVER drain site-1 --yes',
    answers: {
      'POST /v1/plans': {
        status: 200,
        body: {...drainPlan, risks: [{severity: 'blocking', text: 'este is full'}]},
      },
    },
    exitCode: 1,
    stderr: ['este is full'],
    routes: ['POST /v1/plans'],
  },
  {
    args: 'SERVER intent confirm DIR/plan.json',
    answers: {[confirmRoute]: errorAnswer('planConflict', 'version is 6')},
    exitCode: 4,
    stderr: ['4004 plan-conflict', 'version is 6'],
  },
  {
    args: 'SERVER intent confirm DIR/plan.json --output json',
    answers: {[confirmRoute]: errorAnswer('planUnsafe')},
    exitCode: 1,
    stdout: ['"code":4005'],
  },
  {
    args: 'SERVER intent confirm DIR/plan.json',
    answers: {[confirmRoute]: errorAnswer('confirmUnknown')},
    exitCode: 5,
  },
  {
    args: 'SERVER intent confirm DIR/plan.json',
    answers: {[confirmRoute]: 'lost'},
    exitCode: 5,
    stderr: ['confirming again is safe'],
  },
  {
    args: 'SERVER intent confirm DIR/plan.json',
    answers: {[confirmRoute]: {status: 502, body: 'bad gateway'}},
    exitCode: 5,
  },
  {
    args: 'SERVER intent confirm DIR/plan.json',
    answers: {[confirmRoute]: errorAnswer('storedNotDistributed')},
    exitCode: 0,
    stdout: ['not yet held by two other instances'],
  },
  {
    args: 'SERVER intent confirm DIR/intent.json',
    exitCode: 2,
    stderr: ['is not a plan'],
    routes: [],
  },
  {
    args: 'SERVER intent plan DIR/wrong.json',
    exitCode: 2,
    stderr: ['id: found "Drain"'],
    routes: [],
  },
  {args: 'SERVER intent plan DIR/broken.json', exitCode: 2, stderr: ['not valid JSON'], routes: []},
  {args: 'SERVER intent plan DIR/none.json', exitCode: 2, stderr: ['none.json'], routes: []},
  {args: 'SERVER intent show other', exitCode: 1, stderr: ['4008 not-found']},
  {args: 'SERVER undrain site-9 --yes', exitCode: 1, stderr: ['"site-9" is not drained']},
  {
    args: 'SERVER status',
    answers: {'GET /v1/status': errorAnswer('internalError')},
    exitCode: 1,
  },
  {args: 'SERVER status', answers: {'GET /v1/status': 'lost'}, exitCode: 3},
  {args: 'CLOSED status', exitCode: 3, stderr: ['no server answered', '127.0.0.1:']},
  {args: 'status', exitCode: 2, stderr: ['--server']},
  {args: '--server nowhere status', exitCode: 2, stderr: ['host:port']},
  {args: 'SERVER status --output xml', exitCode: 2, stderr: ['xml']},
  {args: 'SERVER status --interval-s 0', exitCode: 2, stderr: ['seconds']},
  {args: 'SERVER unknown', exitCode: 2, stderr: ['unknown']},
  {args: 'settings check DIR/plan.json', exitCode: 2, stderr: ['--kind', 'catalog']},
  {args: 'settings check DIR/plan.json --kind catalog', exitCode: 2, stderr: ['regions']},
];

describe('cuminsill', () => {
  it.each(commandCases)('$args', checkCase);

  it.each(failureCases)('$args ends with $exitCode ($#)', checkCase);

  it('tries the next server when one does not answer or is not ready', async () => {
    const unreadyApi = await FakeOperatorsApi.start({'GET /v1/status': errorAnswer('notReady')});
    await checkCase({
      args: `CLOSED --server ${unreadyApi.address} SERVER status`,
      exitCode: 0,
      routes: ['GET /v1/status'],
    });
    await unreadyApi.stop();
  });

  it('saves a plan that can be confirmed', async () => {
    await checkCase({
      args: 'SERVER intent plan DIR/intent.json --save DIR/saved.json',
      exitCode: 0,
    });
    expect(JSON.parse(readFileSync(join(testDirectory, 'saved.json'), 'utf8'))).toEqual(drainPlan);
  });

  // Guards against a token that is missing from operators' requests or sent to the callers' port.
  it.each([
    ['SERVER status', 'Bearer from-variable'],
    ['SERVER status --token-file DIR/token', 'Bearer secret-1'],
    ['SERVER lookup proofs', undefined],
  ])('%s sends authorization %s', async (args, expected) => {
    await checkCase({args, exitCode: 0, environment: {CUMINSILL_TOKEN: 'from-variable'}});
    expect(api.receivedRequests.map(request => request.authorization)).toEqual([expected]);
  });

  it('sends intents, stops and catalogs as the API expects them', async () => {
    await checkCase({args: 'SERVER drain site-1 --stop --yes', exitCode: 0});
    const intent = {kind: 'stop', id: 'drain-site-1', siteId: 'site-1'};
    expect(api.receivedRequests.map(request => request.body)).toEqual([
      {action: 'put', intent},
      {plan: drainPlan},
    ]);
    await api.stop();
    await checkCase({args: 'SERVER catalog put CATALOG --yes', exitCode: 0});
    const catalog: unknown = JSON.parse(readFileSync(catalogFile, 'utf8'));
    expect(api.receivedRequests[0]?.body).toEqual({action: 'put-catalog', catalog});
  });

  // Guards against a token that is sent to a server without a trusted certificate.
  it('uses TLS and verifies the certificate when --ca is given', async () => {
    const altNames = [{type: 7 as const, ip: '127.0.0.1'}];
    const makeCertificate = () =>
      generate([{name: 'commonName', value: '127.0.0.1'}], {
        extensions: [{name: 'subjectAltName', altNames}],
      });
    const [trustedCertificate, otherCertificate] = await Promise.all([
      makeCertificate(),
      makeCertificate(),
    ]);
    const tlsApi = await FakeOperatorsApi.start(
      {},
      {cert: trustedCertificate.cert, key: trustedCertificate.private},
    );
    writeFileSync(join(testDirectory, 'own.pem'), trustedCertificate.cert);
    writeFileSync(join(testDirectory, 'other.pem'), otherCertificate.cert);
    const tlsArgs = `--server ${tlsApi.address} status`;
    await checkCase({args: `${tlsArgs} --ca DIR/own.pem`, exitCode: 0, stdout: ['answered by']});
    await api.stop();
    await checkCase({
      args: `${tlsArgs} --ca DIR/other.pem`,
      exitCode: 3,
      stderr: ['no server answered'],
    });
    expect(tlsApi.receivedRequests).toHaveLength(1);
    await tlsApi.stop();
  });

  it('replaces control characters of an answer in tables', async () => {
    const reply = {code: 1, name: 'a\u001b[2Jb', outcome: 'run', reason: '', detail: ''};
    await checkCase({
      args: 'SERVER explain x',
      answers: {'GET /v1/explain/x': {status: 200, body: reply}},
      exitCode: 0,
      stdout: ['a?[2Jb'],
    });
  });
});
