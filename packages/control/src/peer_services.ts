/** The peer port of a control process: what it answers to its own entry and to the other control processes. */
import type {ConnectRouter} from '@connectrpc/connect';
import type {ClaimAnswer, ClaimAuthority, ClaimOutcome} from '@cuminsill/claims';
import type {ConfigSync} from '@cuminsill/config_sync';
import type {Membership} from '@cuminsill/membership';
import type {ClaimReply, CompleteRequest} from '@cuminsill/protocol';
import {
  ClaimService,
  ConfigService,
  MembershipService,
  SnapshotService,
  StatusService,
} from '@cuminsill/protocol';
import {Effect} from 'effect';
import type {OwnEntry} from './own_entry';
import type {SnapshotFeed} from './snapshot_feed';

/** What the services work with. */
export interface PeerServicesParts {
  readonly membership: Membership;
  readonly configSync: ConfigSync;
  readonly claims: ClaimAuthority;
  readonly feed: SnapshotFeed;
  readonly ownEntry: OwnEntry;
  readonly storeReachable: () => boolean;
}

type ClaimReplyInit = Partial<Omit<ClaimReply, '$typeName' | '$unknown'>>;

/** Adds all services to the router. */
export function addPeerServices(router: ConnectRouter, parts: PeerServicesParts): void {
  router.service(MembershipService, {
    heartbeat: request => parts.membership.receive(request),
  });
  router.service(ConfigService, {
    push: request => Effect.runPromise(parts.configSync.receivePush(request)),
    pull: request => parts.configSync.receivePull(request),
  });
  router.service(SnapshotService, {
    subscribe: (_request, context) => parts.feed.subscribe(context.signal),
    report: request => {
      parts.ownEntry.receive(request);
      return {};
    },
  });
  router.service(StatusService, {
    getStatus: () => ({
      entry: parts.ownEntry.lastReport(),
      entryReportAgeMs: BigInt(Math.floor(parts.ownEntry.reportAgeMs())),
      configVersion: BigInt(parts.configSync.current().version),
      storeReachable: parts.storeReachable(),
    }),
    findRefusal: request => {
      const refusal = parts.ownEntry.findRefusal(request.requestId);
      return {found: refusal !== undefined, refusal};
    },
  });
  addClaimService(router, parts.claims);
}

function addClaimService(router: ConnectRouter, claims: ClaimAuthority): void {
  router.service(ClaimService, {
    claim: async request =>
      answerToWire(
        await Effect.runPromise(
          claims.claim({
            key: request.key,
            requestDigest: request.requestDigest,
            attemptToken: request.attemptToken,
            sendDeadlineAtMs: Number(request.sendDeadlineMs),
          }),
        ),
      ),
    complete: async request => {
      const outcome = outcomeFromWire(request);
      // An outcome that this version does not know must not end a claim.
      if (outcome === undefined) return {state: 'unavailable'};
      const {key, claimId} = request;
      return {state: await Effect.runPromise(claims.complete(key, claimId, outcome))};
    },
    getOutcome: async request =>
      answerToWire(await Effect.runPromise(claims.outcomeOf(request.key))),
  });
}

type AnswerEncoders = {
  readonly [State in ClaimAnswer['state']]: (
    answer: Extract<ClaimAnswer, {state: State}>,
  ) => ClaimReplyInit;
};

const nothingMore = () => ({});

const answerEncoders: AnswerEncoders = {
  granted: answer => ({claimId: answer.claimId}),
  'in-progress': nothingMore,
  unknown: nothingMore,
  'not-run': nothingMore,
  'key-reused': nothingMore,
  unavailable: nothingMore,
  'not-owner': answer => ({ownerInstanceId: answer.ownerInstanceId ?? ''}),
  run: ({answer}) => ({
    status: answer.status,
    contentType: answer.contentType,
    body: Uint8Array.from(answer.body ?? []),
    bodyKept: answer.body !== undefined,
  }),
};

function answerToWire(answer: ClaimAnswer): ClaimReplyInit {
  const encode = answerEncoders[answer.state] as (answer: ClaimAnswer) => ClaimReplyInit;
  return {state: answer.state, ...encode(answer)};
}

type OutcomeDecoder = (request: CompleteRequest) => ClaimOutcome;

const outcomeDecoders: Readonly<Record<string, OutcomeDecoder>> = {
  'not-run': () => ({outcome: 'not-run'}),
  unknown: () => ({outcome: 'unknown'}),
  run: request => ({
    outcome: 'run',
    answer: {
      status: request.status,
      contentType: request.contentType,
      body: request.bodyKept ? request.body : undefined,
    },
  }),
};

function outcomeFromWire(request: CompleteRequest): ClaimOutcome | undefined {
  return outcomeDecoders[request.outcome]?.(request);
}
