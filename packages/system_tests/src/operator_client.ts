/** Operators of the tests: requests to the operators' API of one instance. */
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

/** An answer of the operators' API. */
export interface OperatorReply<A> {
  readonly status: number;
  readonly body: A & Partial<ErrorBody>;
}

/** Sends one request to the operators' API. Rejects when no answer arrives. */
export async function askOperators<A>(
  address: SocketAddress,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<OperatorReply<A>> {
  const response = await fetch(`http://${address.host}:${address.port}${path}`, {
    method,
    headers: {authorization: `Bearer ${operatorToken}`},
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  return {status: response.status, body: (await response.json()) as A & Partial<ErrorBody>};
}

/** Asks for a plan. */
export function askPlan(
  address: SocketAddress,
  request: PlanRequest | {readonly action: 'put-catalog'; readonly catalog: Catalog},
): Promise<OperatorReply<Plan>> {
  return askOperators<Plan>(address, 'POST', '/v1/plans', request);
}

/** Confirms a plan. */
export function confirmPlan(
  address: SocketAddress,
  plan: Plan,
): Promise<OperatorReply<ConfirmReply>> {
  return askOperators<ConfirmReply>(address, 'POST', '/v1/plans/confirm', {plan});
}

/** Asks for the status. */
export async function askStatus(address: SocketAddress): Promise<StatusReply> {
  return (await askOperators<StatusReply>(address, 'GET', '/v1/status')).body;
}
