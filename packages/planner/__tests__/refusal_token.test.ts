import fc from 'fast-check';
import type {ExplainReply, ResultCodeKey} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import {
  explainToUser,
  explanationTemplates,
  makeRequestId,
  maxRefusalDetailBytes,
  explainRefusedRequest,
  appendRefusalToken,
} from '@cuminsill/planner';
import type {RefusalFacts} from '@cuminsill/planner';

const signingKey = 'test-signing-key';
const atMs = Date.UTC(2026, 11, 3, 20, 44, 5);
const facts: RefusalFacts = {
  code: 2001,
  atMs,
  serviceId: 'reservations',
  regionId: 'norte',
  configVersion: 1234,
  instanceId: 'norte-a-1',
  detail: '36 of 36 slots busy, 144 queued',
};

describe('request ids', () => {
  // Guards against two requests with the same id, also after a restart.
  test('differ by instance, process start and counter', () => {
    const ids = ['i1', 'i2'].flatMap(instanceId =>
      [1_000, 1_001].flatMap(processStartedAtMs =>
        [0, 1, 35, 36].map(n => makeRequestId(instanceId, n, processStartedAtMs)),
      ),
    );
    expect(new Set(ids).size).toBe(16);
  });

  // Guards against facts that are lost or altered between the refusal and its explanation.
  test('an id with a token explains the refusal', () => {
    const requestId = appendRefusalToken(makeRequestId('norte-a-1', 7, atMs), facts, signingKey);
    expect(explainRefusedRequest(requestId, signingKey)).toEqual({
      requestId,
      code: 2001,
      name: 'region-overloaded',
      outcome: 'not-run',
      reason:
        'You asked the service "reservations" for something on 2026-12-03 at 20:44 UTC. ' +
        'Everyone who could answer was busy. ' +
        'It was not carried out, and nothing was booked, charged or changed. ' +
        'Please wait a minute and send it again.',
      detail: 'region norte: 36 of 36 slots busy, 144 queued',
      atMs,
      serviceId: 'reservations',
      instanceId: 'norte-a-1',
      configVersion: 1234,
      source: 'request-id',
    });
  });

  const anyFacts = fc.record({
    code: fc.constantFrom(...Object.values(resultCodes).map(result => result.code)),
    atMs: fc.integer({min: 0, max: 4e12}),
    serviceId: fc.string({maxLength: 64}),
    regionId: fc.constantFrom('', 'norte'),
    configVersion: fc.integer({min: 0, max: 2 ** 47}),
    instanceId: fc.stringMatching(/^[a-z0-9][a-z0-9.-]{0,63}$/),
    detail: fc.string({unit: 'binary', maxLength: 200}),
  });

  // Guards against tokens that are too long for a header, and against a detail truncated inside a character.
  test('any facts are preserved, with the detail truncated to its limit', () => {
    fc.assert(
      fc.property(anyFacts, givenFacts => {
        const explanation = explainRefusedRequest(
          appendRefusalToken('id-1', givenFacts, signingKey),
          signingKey,
        ) as ExplainReply;
        const {code, configVersion, instanceId} = givenFacts;
        expect(explanation).toMatchObject({code, atMs: givenFacts.atMs, configVersion, instanceId});
        const detail = explanation.detail.replace(/^region norte: /, '');
        expect(Buffer.byteLength(detail)).toBeLessThanOrEqual(maxRefusalDetailBytes);
        expect(Buffer.from(givenFacts.detail).toString().startsWith(detail)).toBe(true);
      }),
      {seed: 3, numRuns: 500},
    );
  });

  // Guards against forged explanations: a changed character, another key, or the token of another request.
  test('rejects forged and damaged ids', () => {
    const requestId = appendRefusalToken('norte-a-1-x-1', facts, signingKey);
    fc.assert(
      fc.property(
        fc.nat(requestId.length - 1),
        fc.constantFrom('A', 'b', '0', '_', '=', '~', ' ', ''),
        (position, text) => {
          const forged = requestId.slice(0, position) + text + requestId.slice(position + 1);
          if (forged === requestId) return;
          expect(explainRefusedRequest(forged, signingKey)).toBeInstanceOf(ResultError);
        },
      ),
      {seed: 5, numRuns: 2000},
    );
    const token = requestId.slice(requestId.indexOf('~'));
    const invalidIds = ['', '~', 'norte-a-1-x-1', `norte-a-1-x-2${token}`, requestId.slice(0, -1)];
    for (const text of [...invalidIds, `${requestId}=`]) {
      expect(explainRefusedRequest(text, signingKey)).toMatchObject({
        result: resultCodes.malformedRequest,
      });
    }
    expect(explainRefusedRequest(requestId, 'another-key')).toBeInstanceOf(ResultError);
  });
});

describe('explanation texts', () => {
  const resultCodeKeys = Object.keys(resultCodes) as ResultCodeKey[];

  // Guards against a result code that cannot be explained.
  test('every result code has a template', () => {
    expect(Object.keys(explanationTemplates).sort()).toEqual([...resultCodeKeys].sort());
  });

  // Guards against explanations that omit a part, contradict the outcome or use internal terms.
  test.each(resultCodeKeys)('%s', key => {
    const result = resultCodes[key];
    const text = explainToUser(result, 'print-runs', atMs);
    expect(text).toContain('the service "print-runs"');
    expect(text).toContain(explanationTemplates[key].advice);
    expect(text).not.toMatch(/undefined|\d{4} ?ms|slot|shard|upstream|entry process/i);
    if (result.code >= 4000) return;
    const statementPattern =
      /It was not carried out|It was carried out once|may (still )?have been|cannot tell/;
    const [statement] = statementPattern.exec(text) ?? ['nothing'];
    const expectedStatements = {
      'not-run': ['It was not carried out'],
      run: ['It was carried out once'],
      unknown: ['may have been', 'may still have been', 'cannot tell'],
    };
    expect(expectedStatements[result.outcome]).toContain(statement);
  });
});
