/** Client of the operators' API for the demo and the bench. */
import type {
  Catalog,
  ConfirmReply,
  Plan,
  PlanRequest,
  SocketAddress,
  StatusReply,
} from '@cuminsill/types';

/** Sends requests to one instance. */
export class OperatorsClient {
  constructor(
    private readonly address: SocketAddress,
    private readonly token: string,
  ) {}

  /** Plans a change and confirms the plan. */
  async change(
    body: PlanRequest | {readonly action: 'put-catalog'; readonly catalog: Catalog},
  ): Promise<ConfirmReply> {
    const plan = await this.call<Plan>('POST', '/v1/plans', body);
    return this.call<ConfirmReply>('POST', '/v1/plans/confirm', {plan});
  }

  /** State of the system as this instance sees it. */
  status(): Promise<StatusReply> {
    return this.call<StatusReply>('GET', '/v1/status');
  }

  private async call<A>(method: string, path: string, body?: unknown): Promise<A> {
    const response = await fetch(`http://${this.address.host}:${this.address.port}${path}`, {
      method,
      headers: {authorization: `Bearer ${this.token}`, 'content-type': 'application/json'},
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    const text = await response.text();
    if (!response.ok) throw new Error(`${method} ${path} answered ${response.status}: ${text}`);
    return JSON.parse(text) as A;
  }
}

/** Calls `check` until it returns a value; fails after `limitMs` with the last error. */
export async function waitFor<A>(
  name: string,
  limitMs: number,
  check: () => Promise<A | undefined>,
): Promise<A> {
  const untilMs = performance.now() + limitMs;
  let lastError: unknown = 'no result';
  while (performance.now() < untilMs) {
    try {
      const value = await check();
      if (value !== undefined) return value;
    } catch (error) {
      lastError = error;
    }
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  throw new Error(`${name} did not happen in ${limitMs} ms: ${String(lastError)}`);
}
