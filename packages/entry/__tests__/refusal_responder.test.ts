import type {ServerResponse} from 'node:http';
import {ResultError, resultCodes} from '@cuminsill/types';
import {RefusalResponder} from '../src/refusal_responder';

/** A response whose caller has left, so that the refusal is recorded only. */
const closedResponse = {headersSent: false, destroyed: true} as ServerResponse;

function refuse(responder: RefusalResponder, number: number): void {
  const context = {
    requestId: `r-${number}`,
    serviceId: 's',
    callerRegionId: 'a',
    configVersion: 1,
    instanceId: 'i',
    atMs: number,
  };
  responder.send(closedResponse, context, new ResultError(resultCodes.quarantined));
}

// Guards against reports to the control process that leave out the newest refusals once many were recorded.
test.each([3, 4_096, 4_097, 6_000, 10_000])(
  'the recent refusals are the newest ones, oldest first, after %i refusals',
  count => {
    const responder = new RefusalResponder('key');
    for (let number = 1; number <= count; number += 1) refuse(responder, number);
    const recent = responder.recent(3).map(({requestId}) => requestId);
    expect(recent).toEqual([`r-${count - 2}`, `r-${count - 1}`, `r-${count}`]);
  },
);
