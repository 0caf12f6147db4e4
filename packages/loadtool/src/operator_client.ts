/** Client of the operators' API for the demo and the benchmark. */
import type {
  Catalog,
  ConfirmReply,
  Plan,
  PlanRequest,
  SocketAddress,
  StatusReply,
} from '@cuminsill/types';

/** Sends requests to the operators' API of one instance. */
export class OperatorClient {
  constructor(
    private readonly address: SocketAddress,
    private readonly token: string,
  ) {}

  /** Requests the plan of a change and confirms it. */
  async planAndConfirm(
    body: PlanRequest | {readonly action: 'put-catalog'; readonly catalog: Catalog},
  ): Promise<ConfirmReply> {
    const plan = await this.sendRequest<Plan>('POST', '/v1/plans', body);
    return this.sendRequest<ConfirmReply>('POST', '/v1/plans/confirm', {plan});
  }

  /** Fetches the state of the system as this instance sees it. */
  fetchStatus(): Promise<StatusReply> {
    return this.sendRequest<StatusReply>('GET', '/v1/status');
  }

  private async sendRequest<A>(method: string, path: string, body?: unknown): Promise<A> {
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

/** Calls `poll` until it returns a value; rejects after `timeoutMs` with the last error. */
export async function waitFor<A>(
  description: string,
  timeoutMs: number,
  poll: () => Promise<A | undefined>,
): Promise<A> {
  const deadlineMs = performance.now() + timeoutMs;
  let lastError: unknown = 'no result';
  while (performance.now() < deadlineMs) {
    try {
      const value = await poll();
      if (value !== undefined) return value;
    } catch (error) {
      lastError = error;
    }
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  throw new Error(
    `timed out after ${timeoutMs} ms waiting for ${description}: ${String(lastError)}`,
  );
}
