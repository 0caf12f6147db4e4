/** Operations of the operator API: plans, confirmations, intents, status and explanations of refusals. */
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
import type {OperatorRequest, OperatorResponse, OperatorRoute} from './operator_server';
import type {StatusCollector} from './status_collector';

/** Components that the operations use. */
export interface OperatorRoutesDependencies {
  readonly configSync: ConfigSync;
  readonly statusCollector: StatusCollector;
  readonly signingKey: string;
  readonly time: TimeSource;
}

/** Returns the routes of all operations. */
export function operatorRoutes(dependencies: OperatorRoutesDependencies): readonly OperatorRoute[] {
  return [
    {
      method: 'POST',
      path: /^\/v1\/plans$/,
      role: 'operator',
      handle: request => handlePlanRequest(dependencies, request),
    },
    {
      method: 'POST',
      path: /^\/v1\/plans\/confirm$/,
      role: 'operator',
      handle: request => handleConfirmation(dependencies, request),
    },
    {
      method: 'GET',
      path: /^\/v1\/intents$/,
      role: 'viewer',
      handle: () => Promise.resolve(listIntents(dependencies)),
    },
    {
      method: 'GET',
      path: /^\/v1\/intents\/([^/]+)$/,
      role: 'viewer',
      handle: request => Promise.resolve(getIntent(dependencies, request)),
    },
    {
      method: 'GET',
      path: /^\/v1\/status$/,
      role: 'viewer',
      handle: async () => ({status: 200, body: await dependencies.statusCollector.collectStatus()}),
    },
    {
      method: 'GET',
      path: /^\/v1\/explain\/([^/]+)$/,
      role: 'viewer',
      handle: request => explainRefusal(dependencies, request),
    },
  ];
}

async function handlePlanRequest(
  dependencies: OperatorRoutesDependencies,
  request: OperatorRequest,
): Promise<OperatorResponse> {
  const planRequest = decodeOrThrow('plan request', PlanRequestSchema, request.body);
  const configuration = dependencies.configSync.current();
  const nowMs = Math.floor(dependencies.time.nowMs());
  if (planRequest.action === 'put-catalog') {
    return {status: 200, body: makeCatalogPlan(dependencies, configuration, planRequest, nowMs)};
  }
  const liveLoads: LiveLoads = await dependencies.statusCollector.measureLiveLoads();
  return {
    status: 200,
    body: makePlan(configuration, planRequest, liveLoads, nowMs, dependencies.signingKey),
  };
}

function makeCatalogPlan(
  dependencies: OperatorRoutesDependencies,
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
  return signPlan(content, dependencies.signingKey);
}

async function handleConfirmation(
  dependencies: OperatorRoutesDependencies,
  request: OperatorRequest,
): Promise<OperatorResponse> {
  const {plan} = decodeOrThrow('confirmation', ConfirmRequestSchema, request.body);
  if (!verifyPlan(plan, dependencies.signingKey)) {
    throw new ResultError(resultCodes.invalidIntent, 'The plan was changed after it was made.');
  }
  const {configSync} = dependencies;
  const confirmedDigests = configSync.planVersion(plan.digest) === undefined ? [] : [plan.digest];
  const decision = decideConfirmation(plan, configSync.current(), new Set(confirmedDigests));
  if (decision instanceof ResultError) throw decision;
  if (decision === 'repeated') {
    const configVersion = configSync.planVersion(plan.digest) ?? 0;
    return {status: 200, body: {state: 'accepted', configVersion, repeated: true}};
  }
  checkPlanAge(plan, dependencies.time.nowMs());
  const change = {
    ...decision,
    author: request.operator.name,
    acceptedAtMs: Math.floor(dependencies.time.nowMs()),
  };
  const submission = await Effect.runPromise(Effect.either(configSync.submit(change)));
  if (Either.isLeft(submission)) throw resultForSubmitError(submission.left);
  return responseForSubmit(submission.right);
}

/** Maximum age of a plan at confirmation: its headroom and risks are computed from loads measured when it was made. */
const maxPlanAgeMs = 600_000;

function checkPlanAge(plan: Plan, nowMs: number): void {
  const ageMs = nowMs - plan.madeAtMs;
  if (ageMs <= maxPlanAgeMs) return;
  const detail =
    `The plan was made ${Math.floor(ageMs / 1000)} s ago; its loads are used for at most ` +
    `${maxPlanAgeMs / 1000} s.`;
  throw new ResultError(resultCodes.planConflict, detail);
}

function responseForSubmit(result: SubmitResult): OperatorResponse {
  const status = result.state === 'accepted' ? 200 : resultCodes.storedNotDistributed.httpStatus;
  return {status, body: {state: result.state, configVersion: result.version, repeated: false}};
}

type SubmitErrorConverters = {
  readonly [Tag in SubmitError['_tag']]: (error: Extract<SubmitError, {_tag: Tag}>) => ResultError;
};

const submitErrorConverters: SubmitErrorConverters = {
  ConfigConflictError: error => new ResultError(resultCodes.planConflict, error.message),
  ConfigStoreUnavailableError: error =>
    new ResultError(resultCodes.storeUnavailable, error.message),
  ConfigOutcomeUnknownError: error => new ResultError(resultCodes.confirmUnknown, error.message),
  ConfigInvalidChangeError: error => new ResultError(resultCodes.invalidIntent, error.message),
};

function resultForSubmitError(error: SubmitError): ResultError {
  const convert = submitErrorConverters[error._tag] as (error: SubmitError) => ResultError;
  return convert(error);
}

function listIntents(dependencies: OperatorRoutesDependencies): OperatorResponse {
  const {version, intents} = dependencies.configSync.current();
  return {status: 200, body: {configVersion: version, intents}};
}

function getIntent(
  dependencies: OperatorRoutesDependencies,
  request: OperatorRequest,
): OperatorResponse {
  const [intentId] = request.pathParameters;
  const intentEntry = dependencies.configSync
    .current()
    .intents.find(entry => entry.intent.id === intentId);
  if (intentEntry === undefined) {
    throw new ResultError(resultCodes.notFound, `No intent "${intentId}" is in force.`);
  }
  return {status: 200, body: intentEntry};
}

async function explainRefusal(
  dependencies: OperatorRoutesDependencies,
  request: OperatorRequest,
): Promise<OperatorResponse> {
  const [requestId = ''] = request.pathParameters;
  const explanation = explainRefusedRequest(requestId, dependencies.signingKey);
  if (explanation instanceof ResultError) throw explanation;
  const rememberedRefusal = await dependencies.statusCollector.findRefusal(
    explanation.instanceId,
    requestId,
  );
  if (rememberedRefusal === undefined) return {status: 200, body: explanation};
  return {
    status: 200,
    body: {...explanation, detail: rememberedRefusal.detail, source: 'instance'},
  };
}
