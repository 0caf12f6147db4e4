/** RPC services on the peer port of a control process, called by the local entry and by other control processes. */
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
import type {LocalEntry} from './local_entry';
import type {SnapshotFeed} from './snapshot_feed';

/** Components that the services use. */
export interface PeerServicesDependencies {
  readonly membership: Membership;
  readonly configSync: ConfigSync;
  readonly claims: ClaimAuthority;
  readonly snapshotFeed: SnapshotFeed;
  readonly localEntry: LocalEntry;
  readonly isStoreReachable: () => boolean;
}

type ClaimReplyInit = Partial<Omit<ClaimReply, '$typeName' | '$unknown'>>;

/** Registers all services with the router. */
export function addPeerServices(
  router: ConnectRouter,
  dependencies: PeerServicesDependencies,
): void {
  router.service(MembershipService, {
    heartbeat: request => dependencies.membership.receive(request),
  });
  router.service(ConfigService, {
    push: request => Effect.runPromise(dependencies.configSync.receivePush(request)),
    pull: request => dependencies.configSync.receivePull(request),
  });
  router.service(SnapshotService, {
    subscribe: (_request, context) => dependencies.snapshotFeed.subscribe(context.signal),
    report: request => {
      dependencies.localEntry.receiveReport(request);
      return {};
    },
  });
  router.service(StatusService, {
    getStatus: () => ({
      entry: dependencies.localEntry.lastReport(),
      entryReportAgeMs: BigInt(Math.floor(dependencies.localEntry.reportAgeMs())),
      configVersion: BigInt(dependencies.configSync.current().version),
      storeReachable: dependencies.isStoreReachable(),
    }),
    findRefusal: request => {
      const refusal = dependencies.localEntry.findRefusal(request.requestId);
      return {found: refusal !== undefined, refusal};
    },
  });
  addClaimService(router, dependencies.claims);
}

function addClaimService(router: ConnectRouter, claims: ClaimAuthority): void {
  router.service(ClaimService, {
    claim: async request =>
      encodeAnswer(
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
      const outcome = decodeOutcome(request);
      // A claim must not be completed with an outcome that this version does not know.
      if (outcome === undefined) return {state: 'unavailable'};
      const {key, claimId} = request;
      return {state: await Effect.runPromise(claims.complete(key, claimId, outcome))};
    },
    getOutcome: async request =>
      encodeAnswer(await Effect.runPromise(claims.outcomeOf(request.key))),
  });
}

type AnswerEncoders = {
  readonly [State in ClaimAnswer['state']]: (
    answer: Extract<ClaimAnswer, {state: State}>,
  ) => ClaimReplyInit;
};

const noFields = () => ({});

const answerEncoders: AnswerEncoders = {
  granted: answer => ({claimId: answer.claimId}),
  'in-progress': noFields,
  unknown: noFields,
  'not-run': noFields,
  'key-reused': noFields,
  unavailable: noFields,
  'not-owner': answer => ({ownerInstanceId: answer.ownerInstanceId ?? ''}),
  run: ({answer}) => ({
    status: answer.status,
    contentType: answer.contentType,
    body: Uint8Array.from(answer.body ?? []),
    bodyKept: answer.body !== undefined,
  }),
};

function encodeAnswer(answer: ClaimAnswer): ClaimReplyInit {
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

function decodeOutcome(request: CompleteRequest): ClaimOutcome | undefined {
  return outcomeDecoders[request.outcome]?.(request);
}
