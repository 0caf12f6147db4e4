/** The operations of the operators' API: plans, confirmations, intents, status and explanations. */
import type {ConfigSync, SubmitError, SubmitResult} from '@cuminsill/config_sync';
import {
  decideConfirmation,
  makePlan,
  explainRefusedRequest,
  signPlan,
  verifyPlan,
} from '@cuminsill/planner';
import type {LiveLoads, PlanContent} from '@cuminsill/planner';
import type {CatalogPlanRequest, Configuration, Plan} from '@cuminsill/types';
import {ResultError, resultCodes} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {ConfirmRequestSchema, decodeOrThrow, PlanRequestSchema} from '@cuminsill/validation';
import {Effect, Either} from 'effect';
import {checkCatalog} from './check_catalog';
import type {OperatorAnswer, OperatorRequest, OperatorRoute} from './operator_server';
import type {StatusView} from './status_view';

/** What the operations work with. */
export interface OperatorRoutesParts {
  readonly configSync: ConfigSync;
  readonly statusView: StatusView;
  readonly signingKey: string;
  readonly time: TimeSource;
}

/** All operations of the API. */
export function operatorRoutes(parts: OperatorRoutesParts): readonly OperatorRoute[] {
  return [
    {
      method: 'POST',
      path: /^\/v1\/plans$/,
      role: 'operator',
      handle: request => answerPlan(parts, request),
    },
    {
      method: 'POST',
      path: /^\/v1\/plans\/confirm$/,
      role: 'operator',
      handle: request => answerConfirm(parts, request),
    },
    {
      method: 'GET',
      path: /^\/v1\/intents$/,
      role: 'viewer',
      handle: () => Promise.resolve(listIntents(parts)),
    },
    {
      method: 'GET',
      path: /^\/v1\/intents\/([^/]+)$/,
      role: 'viewer',
      handle: request => Promise.resolve(showIntent(parts, request)),
    },
    {
      method: 'GET',
      path: /^\/v1\/status$/,
      role: 'viewer',
      handle: async () => ({status: 200, body: await parts.statusView.status()}),
    },
    {
      method: 'GET',
      path: /^\/v1\/explain\/([^/]+)$/,
      role: 'viewer',
      handle: request => explain(parts, request),
    },
  ];
}

async function answerPlan(
  parts: OperatorRoutesParts,
  request: OperatorRequest,
): Promise<OperatorAnswer> {
  const asked = decodeOrThrow('plan request', PlanRequestSchema, request.body);
  const configuration = parts.configSync.current();
  const nowMs = Math.floor(parts.time.nowMs());
  if (asked.action === 'put-catalog') {
    return {status: 200, body: catalogPlan(parts, configuration, asked, nowMs)};
  }
  const live: LiveLoads = await parts.statusView.liveLoads();
  return {status: 200, body: makePlan(configuration, asked, live, nowMs, parts.signingKey)};
}

function catalogPlan(
  parts: OperatorRoutesParts,
  configuration: Configuration,
  request: CatalogPlanRequest,
  nowMs: number,
): Plan {
  checkCatalog(request.catalog);
  const content: PlanContent = {
    configVersion: configuration.version,
    madeAtMs: nowMs,
    change: {kind: 'put-catalog', catalog: request.catalog},
    shareChanges: [],
    steps: [],
    expectedDurationS: 0,
    headroom: [],
    risks: [],
  };
  return signPlan(content, parts.signingKey);
}

async function answerConfirm(
  parts: OperatorRoutesParts,
  request: OperatorRequest,
): Promise<OperatorAnswer> {
  const {plan} = decodeOrThrow('confirmation', ConfirmRequestSchema, request.body);
  if (!verifyPlan(plan, parts.signingKey)) {
    throw new ResultError(resultCodes.invalidIntent, 'The plan was changed after it was made.');
  }
  const {configSync} = parts;
  const confirmed = configSync.planVersion(plan.digest) === undefined ? [] : [plan.digest];
  const decision = decideConfirmation(plan, configSync.current(), new Set(confirmed));
  if (decision instanceof ResultError) throw decision;
  if (decision === 'repeated') {
    const configVersion = configSync.planVersion(plan.digest) ?? 0;
    return {status: 200, body: {state: 'accepted', configVersion, repeated: true}};
  }
  refuseOldPlan(plan, parts.time.nowMs());
  const change = {
    ...decision,
    author: request.operator.name,
    acceptedAtMs: Math.floor(parts.time.nowMs()),
  };
  const submitted = await Effect.runPromise(Effect.either(configSync.submit(change)));
  if (Either.isLeft(submitted)) throw errorOfSubmit(submitted.left);
  return answerSubmitted(submitted.right);
}

/** A plan carries the loads measured when it was made, and its headroom and risks follow from them. */
const maxPlanAgeMs = 600_000;

function refuseOldPlan(plan: Plan, nowMs: number): void {
  const ageMs = nowMs - plan.madeAtMs;
  if (ageMs <= maxPlanAgeMs) return;
  const detail =
    `The plan was made ${Math.floor(ageMs / 1000)} s ago; its loads are used for at most ` +
    `${maxPlanAgeMs / 1000} s.`;
  throw new ResultError(resultCodes.planConflict, detail);
}

function answerSubmitted(result: SubmitResult): OperatorAnswer {
  const status = result.state === 'accepted' ? 200 : resultCodes.storedNotDistributed.httpStatus;
  return {status, body: {state: result.state, configVersion: result.version, repeated: false}};
}

type SubmitErrorHandlers = {
  readonly [Tag in SubmitError['_tag']]: (error: Extract<SubmitError, {_tag: Tag}>) => ResultError;
};

const submitErrorHandlers: SubmitErrorHandlers = {
  ConfigConflictError: error => new ResultError(resultCodes.planConflict, error.message),
  ConfigStoreUnavailableError: error =>
    new ResultError(resultCodes.storeUnavailable, error.message),
  ConfigOutcomeUnknownError: error => new ResultError(resultCodes.confirmUnknown, error.message),
  ConfigInvalidChangeError: error => new ResultError(resultCodes.invalidIntent, error.message),
};

function errorOfSubmit(error: SubmitError): ResultError {
  const handler = submitErrorHandlers[error._tag] as (error: SubmitError) => ResultError;
  return handler(error);
}

function listIntents(parts: OperatorRoutesParts): OperatorAnswer {
  const {version, intents} = parts.configSync.current();
  return {status: 200, body: {configVersion: version, intents}};
}

function showIntent(parts: OperatorRoutesParts, request: OperatorRequest): OperatorAnswer {
  const [intentId] = request.pathParts;
  const found = parts.configSync.current().intents.find(entry => entry.intent.id === intentId);
  if (found === undefined) {
    throw new ResultError(resultCodes.notFound, `No intent "${intentId}" is in force.`);
  }
  return {status: 200, body: found};
}

async function explain(
  parts: OperatorRoutesParts,
  request: OperatorRequest,
): Promise<OperatorAnswer> {
  const [requestId = ''] = request.pathParts;
  const explained = explainRefusedRequest(requestId, parts.signingKey);
  if (explained instanceof ResultError) throw explained;
  const remembered = await parts.statusView.findRefusal(explained.instanceId, requestId);
  if (remembered === undefined) return {status: 200, body: explained};
  return {status: 200, body: {...explained, detail: remembered.detail, source: 'instance'}};
}
