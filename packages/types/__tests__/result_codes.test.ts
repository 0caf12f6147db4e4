import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {resultCodeByNumber, resultCodes} from '@cuminsill/types';
import type {ResultCode} from '@cuminsill/types';

const resultCodesPage = readFileSync(join(__dirname, '../../../docs/result-codes.md'), 'utf8');

const tableRowOf = ({code, name, httpStatus, outcome, retryable, reason}: ResultCode) =>
  `| ${code} | ${name} | ${httpStatus} | ${outcome} | ${retryable ? 'yes' : 'no'} | ${reason} |`;

describe('result codes', () => {
  const allCodes = Object.values<ResultCode>(resultCodes);

  it('have distinct numbers and names', () => {
    expect(new Set(allCodes.map(entry => entry.code)).size).toBe(allCodes.length);
    expect(new Set(allCodes.map(entry => entry.name)).size).toBe(allCodes.length);
  });

  // Guards against a refusal whose text contradicts its outcome.
  it.each(allCodes)(
    '$code $name has a reason that agrees with its outcome',
    ({outcome, reason, code}) => {
      if (outcome !== 'not-run') expect(reason).not.toMatch(/was not run\./);
      if (code >= 1000 && code < 3000) expect(reason).toMatch(/not run/);
      expect(resultCodeByNumber(code)?.code).toBe(code);
    },
  );

  it.each(allCodes)('$code $name is listed in docs/result-codes.md', entry => {
    expect(resultCodesPage).toContain(tableRowOf(entry));
  });
});
