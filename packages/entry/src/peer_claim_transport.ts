/** Carries claims to the control process that owns the shard, over `ClaimService`. */
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

/** Claims over connect-es. */
export class ClaimLinks implements ClaimTransport {
  constructor(
    private readonly clients: PeerClients,
    private readonly view: EntryView,
  ) {}

  claim(
    instanceId: string,
    request: ClaimRequest,
  ): Effect.Effect<ClaimAnswer, ClaimTransportError> {
    return this.call(instanceId, async client =>
      answerFromWire(
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
    return this.call(instanceId, async client => {
      const reply = await client.complete({
        key,
        claimId,
        outcome: outcome.outcome,
        status: answer?.status ?? 0,
        contentType: answer?.contentType ?? '',
        body: answer?.body ?? new Uint8Array(),
        bodyKept: answer?.body !== undefined,
      });
      return completeAnswers[reply.state] ?? 'unavailable';
    });
  }

  outcomeOf(instanceId: string, key: string): Effect.Effect<ClaimAnswer, ClaimTransportError> {
    return this.call(instanceId, async client => answerFromWire(await client.getOutcome({key})));
  }

  private call<A>(
    instanceId: string,
    ask: (client: Client<typeof ClaimService>) => Promise<A>,
  ): Effect.Effect<A, ClaimTransportError> {
    const member = this.view.memberById(instanceId);
    if (member === undefined) {
      return Effect.fail(
        new ClaimTransportError({delivered: 'no', detail: `instance ${instanceId} is not known`}),
      );
    }
    const client = this.clients.of(ClaimService, member.instance.controlPeerAddress);
    return Effect.tryPromise({
      try: () => ask(client),
      catch: error =>
        new ClaimTransportError({
          delivered: wasRefused(error) ? 'no' : 'maybe',
          detail: String(error),
        }),
    });
  }
}

const notConnectedCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

/** Whether no connection was made, so that the message was provably not sent. */
function wasRefused(error: unknown): boolean {
  for (let cause = error; cause instanceof Error; cause = cause.cause) {
    const {code} = cause as {readonly code?: unknown};
    if (typeof code === 'string' && notConnectedCodes.has(code)) return true;
  }
  return false;
}

const completeAnswers: Readonly<Record<string, CompleteAnswer>> = {
  recorded: 'recorded',
  'not-owner': 'not-owner',
  unavailable: 'unavailable',
};

type AnswerDecoder = (reply: ClaimReply) => ClaimAnswer;

const answerDecoders: Readonly<Record<string, AnswerDecoder>> = {
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

/** A state that this version does not know counts as unavailable, so that nothing is sent. */
function answerFromWire(reply: ClaimReply): ClaimAnswer {
  const decode = answerDecoders[reply.state];
  return decode === undefined ? {state: 'unavailable'} : decode(reply);
}
