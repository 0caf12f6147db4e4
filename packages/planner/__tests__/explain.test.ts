import fc from 'fast-check';
import type {ExplainReply, ResultCodeKey} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import {
  explainToPerson,
  explanationTemplates,
  makeRequestId,
  maxDetailBytes,
  openRefusal,
  sealRefusal,
} from '@cuminsill/planner';
import type {RefusalFacts} from '@cuminsill/planner';

const key = 'test-signing-key';
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
  // Guards against two requests with the same id, after a restart too.
  test('differ by instance, start and counter', () => {
    const ids = ['i1', 'i2'].flatMap(instanceId =>
      [1_000, 1_001].flatMap(boot => [0, 1, 35, 36].map(n => makeRequestId(instanceId, n, boot))),
    );
    expect(new Set(ids).size).toBe(16);
  });

  // Guards against facts that are lost or altered between the refusal and its explanation.
  test('a sealed id explains the refusal', () => {
    const sealed = sealRefusal(makeRequestId('norte-a-1', 7, atMs), facts, key);
    expect(openRefusal(sealed, key)).toEqual({
      requestId: sealed,
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

  // Guards against tokens that are too long for a header, and against a detail cut inside a character.
  test('any facts survive, the detail cut to its limit', () => {
    fc.assert(
      fc.property(anyFacts, given => {
        const opened = openRefusal(sealRefusal('id-1', given, key), key) as ExplainReply;
        const {code, configVersion, instanceId} = given;
        expect(opened).toMatchObject({code, atMs: given.atMs, configVersion, instanceId});
        const detail = opened.detail.replace(/^region norte: /, '');
        expect(Buffer.byteLength(detail)).toBeLessThanOrEqual(maxDetailBytes);
        expect(Buffer.from(given.detail).toString().startsWith(detail)).toBe(true);
      }),
      {seed: 3, numRuns: 500},
    );
  });

  // Guards against forged explanations: any changed character, another key, another request's token.
  test('refuses forged and damaged ids', () => {
    const sealed = sealRefusal('norte-a-1-x-1', facts, key);
    fc.assert(
      fc.property(
        fc.nat(sealed.length - 1),
        fc.constantFrom('A', 'b', '0', '_', '=', '~', ' ', ''),
        (at, text) => {
          const forged = sealed.slice(0, at) + text + sealed.slice(at + 1);
          if (forged === sealed) return;
          expect(openRefusal(forged, key)).toBeInstanceOf(ResultError);
        },
      ),
      {seed: 5, numRuns: 2000},
    );
    const token = sealed.slice(sealed.indexOf('~'));
    const others = ['', '~', 'norte-a-1-x-1', `norte-a-1-x-2${token}`, sealed.slice(0, -1)];
    for (const text of [...others, `${sealed}=`]) {
      expect(openRefusal(text, key)).toMatchObject({result: resultCodes.malformedRequest});
    }
    expect(openRefusal(sealed, 'another-key')).toBeInstanceOf(ResultError);
  });
});

describe('explanation texts', () => {
  const keys = Object.keys(resultCodes) as ResultCodeKey[];

  // Guards against a result code that cannot be explained.
  test('every result code has a template', () => {
    expect(Object.keys(explanationTemplates).sort()).toEqual([...keys].sort());
  });

  // Guards against texts that leave out a part, contradict the outcome or use terms of the system.
  test.each(keys)('%s', name => {
    const result = resultCodes[name];
    const text = explainToPerson(result, 'print-runs', atMs);
    expect(text).toContain('the service "print-runs"');
    expect(text).toContain(explanationTemplates[name].advice);
    expect(text).not.toMatch(/undefined|\d{4} ?ms|slot|shard|upstream|entry process/i);
    if (result.code >= 4000) return;
    const ran = /It was not carried out|It was carried out once|may (still )?have been|cannot tell/;
    const [said] = ran.exec(text) ?? ['nothing'];
    const outcomes = {
      'not-run': ['It was not carried out'],
      run: ['It was carried out once'],
      unknown: ['may have been', 'may still have been', 'cannot tell'],
    };
    expect(outcomes[result.outcome]).toContain(said);
  });
});
