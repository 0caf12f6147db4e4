/** Client of the operator API of one instance. It authenticates with the operator token of the tests. */
import type {
  Catalog,
  ConfirmReply,
  ErrorBody,
  Plan,
  PlanRequest,
  SocketAddress,
  StatusReply,
} from '@cuminsill/types';
import {operatorToken} from './test_deployment';

/** A response of the operator API; the fields of an error are present only in an error. */
export interface OperatorResponse<A> {
  readonly status: number;
  readonly body: A & Partial<ErrorBody>;
}

/** Sends one request to the operator API. Rejects if no response arrives. */
export async function sendOperatorRequest<A>(
  address: SocketAddress,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<OperatorResponse<A>> {
  const response = await fetch(`http://${address.host}:${address.port}${path}`, {
    method,
    headers: {authorization: `Bearer ${operatorToken}`},
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return {status: response.status, body: (await response.json()) as A & Partial<ErrorBody>};
}

/** Requests a plan for a change. */
export function requestPlan(
  address: SocketAddress,
  request: PlanRequest | {readonly action: 'put-catalog'; readonly catalog: Catalog},
): Promise<OperatorResponse<Plan>> {
  return sendOperatorRequest<Plan>(address, 'POST', '/v1/plans', request);
}

/** Confirms a plan. */
export function confirmPlan(
  address: SocketAddress,
  plan: Plan,
): Promise<OperatorResponse<ConfirmReply>> {
  return sendOperatorRequest<ConfirmReply>(address, 'POST', '/v1/plans/confirm', {plan});
}

/** Fetches the status of the system as this instance reports it. */
export async function getStatus(address: SocketAddress): Promise<StatusReply> {
  return (await sendOperatorRequest<StatusReply>(address, 'GET', '/v1/status')).body;
}
