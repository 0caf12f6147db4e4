import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {resultCodeByNumber, resultCodes} from '@cuminsill/types';
import type {ResultCode} from '@cuminsill/types';

const page = readFileSync(join(__dirname, '../../../docs/result-codes.md'), 'utf8');

const rowOf = ({code, name, httpStatus, outcome, retryable, reason}: ResultCode) =>
  `| ${code} | ${name} | ${httpStatus} | ${outcome} | ${retryable ? 'yes' : 'no'} | ${reason} |`;

describe('result codes', () => {
  const all = Object.values<ResultCode>(resultCodes);

  it('have distinct numbers and names', () => {
    expect(new Set(all.map(entry => entry.code)).size).toBe(all.length);
    expect(new Set(all.map(entry => entry.name)).size).toBe(all.length);
  });

  // Guards against a refusal whose text contradicts its outcome.
  it.each(all)('$code $name says what happened', ({outcome, reason, code}) => {
    if (outcome !== 'not-run') expect(reason).not.toMatch(/was not run\./);
    if (code >= 1000 && code < 3000) expect(reason).toMatch(/not run/);
    expect(resultCodeByNumber(code)?.code).toBe(code);
  });

  it.each(all)('$code $name is in the table of the docs', entry => {
    expect(page).toContain(rowOf(entry));
  });
});
