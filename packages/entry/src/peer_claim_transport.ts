/** Sends claims, outcomes and outcome queries to the control process that owns the claim shard. */
import type {
  ClaimAnswer,
  ClaimOutcome,
  ClaimRequest,
  ClaimTransport,
  CompleteAnswer,
} from '@cuminsill/claims';
import {ClaimTransportError} from '@cuminsill/claims';
import type {Client} from '@connectrpc/connect';
import type {ClaimReply, PeerClients} from '@cuminsill/protocol';
import {ClaimService} from '@cuminsill/protocol';
import {Effect} from 'effect';
import type {EntryView} from './entry_view';

/** `ClaimTransport` over the RPC service `ClaimService`. */
export class PeerClaimTransport implements ClaimTransport {
  constructor(
    private readonly peerClients: PeerClients,
    private readonly view: EntryView,
  ) {}

  claim(
    instanceId: string,
    request: ClaimRequest,
  ): Effect.Effect<ClaimAnswer, ClaimTransportError> {
    return this.callInstance(instanceId, async client =>
      decodeClaimReply(
        await client.claim({
          key: request.key,
          requestDigest: request.requestDigest,
          attemptToken: request.attemptToken,
          sendDeadlineMs: BigInt(request.sendDeadlineAtMs),
        }),
      ),
    );
  }

  complete(
    instanceId: string,
    key: string,
    claimId: string,
    outcome: ClaimOutcome,
  ): Effect.Effect<CompleteAnswer, ClaimTransportError> {
    const answer = outcome.outcome === 'run' ? outcome.answer : undefined;
    return this.callInstance(instanceId, async client => {
      const reply = await client.complete({
        key,
        claimId,
        outcome: outcome.outcome,
        status: answer?.status ?? 0,
        contentType: answer?.contentType ?? '',
        body: answer?.body ?? new Uint8Array(),
        bodyKept: answer?.body !== undefined,
      });
      return completeAnswersByState[reply.state] ?? 'unavailable';
    });
  }

  outcomeOf(instanceId: string, key: string): Effect.Effect<ClaimAnswer, ClaimTransportError> {
    return this.callInstance(instanceId, async client =>
      decodeClaimReply(await client.getOutcome({key})),
    );
  }

  private callInstance<A>(
    instanceId: string,
    send: (client: Client<typeof ClaimService>) => Promise<A>,
  ): Effect.Effect<A, ClaimTransportError> {
    const member = this.view.memberById(instanceId);
    if (member === undefined) {
      return Effect.fail(
        new ClaimTransportError({delivered: 'no', detail: `instance ${instanceId} is not known`}),
      );
    }
    const client = this.peerClients.clientFor(ClaimService, member.instance.controlPeerAddress);
    return Effect.tryPromise({
      try: () => send(client),
      catch: error =>
        new ClaimTransportError({
          delivered: failedToConnect(error) ? 'no' : 'maybe',
          detail: String(error),
        }),
    });
  }
}

const connectFailureCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Whether the connection could not be opened, which proves that the message was not sent. */
function failedToConnect(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    const {code} = cause as {readonly code?: unknown};
    if (typeof code === 'string' && connectFailureCodes.has(code)) return true;
  }
  return false;
}

const completeAnswersByState: Readonly<Record<string, CompleteAnswer>> = {
  recorded: 'recorded',
  'not-owner': 'not-owner',
  unavailable: 'unavailable',
};

type ClaimAnswerDecoder = (reply: ClaimReply) => ClaimAnswer;

const claimAnswerDecoders: Readonly<Record<string, ClaimAnswerDecoder>> = {
  granted: reply => ({state: 'granted', claimId: reply.claimId}),
  'in-progress': () => ({state: 'in-progress'}),
  unknown: () => ({state: 'unknown'}),
  'not-run': () => ({state: 'not-run'}),
  'key-reused': () => ({state: 'key-reused'}),
  'not-owner': reply => ({
    state: 'not-owner',
    ownerInstanceId: reply.ownerInstanceId === '' ? undefined : reply.ownerInstanceId,
  }),
  run: reply => ({
    state: 'run',
    answer: {
      status: reply.status,
      contentType: reply.contentType,
      body: reply.bodyKept ? reply.body : undefined,
    },
  }),
};

/** Decodes a reply. An unknown state counts as unavailable, so that the request is not sent to a target. */
function decodeClaimReply(reply: ClaimReply): ClaimAnswer {
  const decode = claimAnswerDecoders[reply.state];
  return decode === undefined ? {state: 'unavailable'} : decode(reply);
}
