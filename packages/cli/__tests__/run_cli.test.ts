import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {generate} from 'selfsigned';
import {drainPlan, errorAnswer, FakeOperatorsApi, status} from '../__fixtures__/fake_operators_api';
import type {FakeAnswer} from '../__fixtures__/fake_operators_api';
import {runCli} from '../src/run_cli';

const catalogFile = join(__dirname, '../../../examples/carpas/catalog.json');
const confirmRoute = 'POST /v1/plans/confirm';

interface CliCase {
  readonly args: string;
  readonly exitCode: number;
  readonly answers?: Readonly<Record<string, FakeAnswer>>;
  readonly reply?: string;
  readonly environment?: Readonly<Record<string, string>>;
  /** Parts of standard output and standard error. */
  readonly out?: readonly string[];
  readonly err?: readonly string[];
  /** Routes that the server must have seen, in order. */
  readonly routes?: readonly string[];
}

interface CliRun {
  readonly exitCode: number;
  readonly out: string;
  readonly err: string;
}

let directory: string;
let api: FakeOperatorsApi;

const files: Readonly<Record<string, unknown>> = {
  'intent.json': {kind: 'drain', id: 'drain-site-1', siteId: 'site-1'},
  'wrong.json': {kind: 'drain', id: 'Drain', siteId: 'site-1'},
  'plan.json': drainPlan,
};

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'cuminsill-cli-'));
  for (const [name, content] of Object.entries(files)) {
    writeFileSync(join(directory, name), JSON.stringify(content));
  }
  writeFileSync(join(directory, 'token'), 'secret-1\n');
  writeFileSync(join(directory, 'broken.json'), '{');
});

afterEach(async () => {
  await api.close();
  rmSync(directory, {recursive: true});
});

/** Port on which nothing listens. */
async function closedPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Runs one case; SERVER, CLOSED, DIR and CATALOG in the arguments are replaced. */
async function run(testCase: CliCase): Promise<CliRun> {
  api = await FakeOperatorsApi.start(testCase.answers);
  const port = await closedPort();
  const args = testCase.args
    .replaceAll('SERVER', `--server ${api.address}`)
    .replaceAll('CLOSED', `--server 127.0.0.1:${port}`)
    .replaceAll('DIR', directory)
    .replaceAll('CATALOG', catalogFile)
    .split(' ');
  let out = '';
  let err = '';
  let waits = 0;
  const exitCode = await runCli(args, {
    print: text => void (out += text),
    printError: text => void (err += text),
    ask: async () => testCase.reply,
    sleep: async () => (waits += 1) < 2,
    environment: testCase.environment ?? {},
  });
  return {exitCode, out, err};
}

async function check(testCase: CliCase): Promise<void> {
  const result = await run(testCase);
  expect(result).toMatchObject({exitCode: testCase.exitCode});
  for (const part of testCase.out ?? []) expect(result.out).toContain(part);
  for (const part of testCase.err ?? []) expect(result.err).toContain(part);
  if (testCase.exitCode !== 0) expect(result.err).not.toBe('');
  if (testCase.routes !== undefined) {
    expect(api.seen.map(request => request.route)).toEqual(testCase.routes);
  }
}

// Guards against a command that sends another request than documented, or prints an answer wrongly.
const commandCases: readonly CliCase[] = [
  {
    args: 'SERVER intent plan DIR/intent.json',
    exitCode: 0,
    out: ['put drain intent drain-site-1', 'este 75.0 %, litoral 25.0 %', 'warning  site-1 serves'],
    routes: ['POST /v1/plans'],
  },
  {
    args: 'SERVER intent plan DIR/intent.json --output json',
    exitCode: 0,
    out: ['{"digest":"digest-1"'],
  },
  {
    args: 'SERVER intent confirm DIR/plan.json',
    exitCode: 0,
    out: ['accepted: in force as configuration version 5'],
    routes: [confirmRoute],
  },
  {
    args: 'SERVER intent list',
    exitCode: 0,
    out: ['drain-site-1  drain  site site-1        5  ana           2023-11-14T22:13:20Z'],
  },
  {args: 'SERVER intent show drain-site-1', exitCode: 0, out: ['subject       site site-1']},
  {
    args: 'SERVER intent remove drain-site-1 --yes',
    exitCode: 0,
    routes: ['POST /v1/plans', confirmRoute],
  },
  {
    args: 'SERVER drain site-1',
    reply: 'y',
    exitCode: 0,
    out: ['accepted'],
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
    out: ['store reachable  yes', 'drain-site-1  site-1          2  no', 'suspect'],
  },
  {
    args: 'SERVER status --watch --output json',
    exitCode: 0,
    out: [`${JSON.stringify(status)}\n`.repeat(2)],
    routes: ['GET /v1/status', 'GET /v1/status'],
  },
  {args: 'SERVER explain r/1', exitCode: 0, out: ['result    2001 region-overloaded']},
  {
    args: 'SERVER catalog put CATALOG --yes',
    exitCode: 0,
    routes: ['POST /v1/plans', confirmRoute],
  },
  {args: 'SERVER lookup proofs', exitCode: 0, out: ['127.0.0.1  20000', 'valid for 5 s']},
  {args: 'settings check CATALOG', exitCode: 0, out: ['valid catalog']},
  {args: '--version', exitCode: 0, out: ['0.1.0']},
  {args: '--help', exitCode: 0, out: ['Usage: cuminsill']},
];

// Guards against exit codes that tell a script the wrong thing about what was changed.
const failureCases: readonly CliCase[] = [
  {args: 'SERVER drain site-1', reply: 'n', exitCode: 1, routes: ['POST /v1/plans']},
  {args: 'SERVER drain site-1', exitCode: 2, err: ['--yes'], routes: ['POST /v1/plans']},
  {args: 'SERVER drain Site_1 --yes', exitCode: 2, err: ['lower-case'], routes: []},
  {
    args: 'SERVER drain site-1 --yes',
    answers: {
      'POST /v1/plans': {
        status: 200,
        body: {...drainPlan, risks: [{severity: 'blocking', text: 'este is full'}]},
      },
    },
    exitCode: 1,
    err: ['este is full'],
    routes: ['POST /v1/plans'],
  },
  {
    args: 'SERVER intent confirm DIR/plan.json',
    answers: {[confirmRoute]: errorAnswer('planConflict', 'version is 6')},
    exitCode: 4,
    err: ['4004 plan-conflict', 'version is 6'],
  },
  {
    args: 'SERVER intent confirm DIR/plan.json --output json',
    answers: {[confirmRoute]: errorAnswer('planUnsafe')},
    exitCode: 1,
    out: ['"code":4005'],
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
    err: ['confirming again is safe'],
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
    out: ['not yet held by two other instances'],
  },
  {args: 'SERVER intent confirm DIR/intent.json', exitCode: 2, err: ['is not a plan'], routes: []},
  {args: 'SERVER intent plan DIR/wrong.json', exitCode: 2, err: ['id: found "Drain"'], routes: []},
  {args: 'SERVER intent plan DIR/broken.json', exitCode: 2, err: ['not valid JSON'], routes: []},
  {args: 'SERVER intent plan DIR/none.json', exitCode: 2, err: ['none.json'], routes: []},
  {args: 'SERVER intent show other', exitCode: 1, err: ['4008 not-found']},
  {args: 'SERVER undrain site-9 --yes', exitCode: 1, err: ['"site-9" is not drained']},
  {
    args: 'SERVER status',
    answers: {'GET /v1/status': errorAnswer('internalError')},
    exitCode: 1,
  },
  {args: 'SERVER status', answers: {'GET /v1/status': 'lost'}, exitCode: 3},
  {args: 'CLOSED status', exitCode: 3, err: ['no server answered', '127.0.0.1:']},
  {args: 'status', exitCode: 2, err: ['--server']},
  {args: '--server nowhere status', exitCode: 2, err: ['host:port']},
  {args: 'SERVER status --output xml', exitCode: 2, err: ['xml']},
  {args: 'SERVER status --interval-s 0', exitCode: 2, err: ['seconds']},
  {args: 'SERVER unknown', exitCode: 2, err: ['unknown']},
  {args: 'settings check DIR/plan.json', exitCode: 2, err: ['--kind', 'catalog']},
  {args: 'settings check DIR/plan.json --kind catalog', exitCode: 2, err: ['regions']},
];

describe('cuminsill', () => {
  it.each(commandCases)('$args', check);

  it.each(failureCases)('$args ends with $exitCode ($#)', check);

  it('tries the next server when one does not answer or is not ready', async () => {
    const unready = await FakeOperatorsApi.start({'GET /v1/status': errorAnswer('notReady')});
    await check({
      args: `CLOSED --server ${unready.address} SERVER status`,
      exitCode: 0,
      routes: ['GET /v1/status'],
    });
    await unready.close();
  });

  it('saves a plan that can be confirmed', async () => {
    await check({args: 'SERVER intent plan DIR/intent.json --save DIR/saved.json', exitCode: 0});
    expect(JSON.parse(readFileSync(join(directory, 'saved.json'), 'utf8'))).toEqual(drainPlan);
  });

  // Guards against a token that is not sent, or is sent to the callers' port.
  it.each([
    ['SERVER status', 'Bearer from-variable'],
    ['SERVER status --token-file DIR/token', 'Bearer secret-1'],
    ['SERVER lookup proofs', undefined],
  ])('%s sends authorization %s', async (args, expected) => {
    await check({args, exitCode: 0, environment: {CUMINSILL_TOKEN: 'from-variable'}});
    expect(api.seen.map(request => request.authorization)).toEqual([expected]);
  });

  it('sends intents, stops and catalogs as the API expects them', async () => {
    await check({args: 'SERVER drain site-1 --stop --yes', exitCode: 0});
    const intent = {kind: 'stop', id: 'drain-site-1', siteId: 'site-1'};
    expect(api.seen.map(request => request.body)).toEqual([
      {action: 'put', intent},
      {plan: drainPlan},
    ]);
    await api.close();
    await check({args: 'SERVER catalog put CATALOG --yes', exitCode: 0});
    const catalog: unknown = JSON.parse(readFileSync(catalogFile, 'utf8'));
    expect(api.seen[0]?.body).toEqual({action: 'put-catalog', catalog});
  });

  // Guards against a token that goes to a server without the expected certificate.
  it('uses TLS and checks the certificate when --ca is given', async () => {
    const altNames = [{type: 7 as const, ip: '127.0.0.1'}];
    const makeCertificate = () =>
      generate([{name: 'commonName', value: '127.0.0.1'}], {
        extensions: [{name: 'subjectAltName', altNames}],
      });
    const [own, other] = await Promise.all([makeCertificate(), makeCertificate()]);
    const secure = await FakeOperatorsApi.start({}, {cert: own.cert, key: own.private});
    writeFileSync(join(directory, 'own.pem'), own.cert);
    writeFileSync(join(directory, 'other.pem'), other.cert);
    const server = `--server ${secure.address} status`;
    await check({args: `${server} --ca DIR/own.pem`, exitCode: 0, out: ['answered by']});
    await api.close();
    await check({args: `${server} --ca DIR/other.pem`, exitCode: 3, err: ['no server answered']});
    expect(secure.seen).toHaveLength(1);
    await secure.close();
  });

  it('replaces control characters of an answer in tables', async () => {
    const explained = {code: 1, name: 'a\u001b[2Jb', outcome: 'run', reason: '', detail: ''};
    await check({
      args: 'SERVER explain x',
      answers: {'GET /v1/explain/x': {status: 200, body: explained}},
      exitCode: 0,
      out: ['a?[2Jb'],
    });
  });
});
