/**
 * The promises that a soak checks, each on the whole history of a run. Checks with a time bound depend on the speed of
 * the machine, so they are omitted where the result must be the same on every run.
 */
import {findArrivalsAfterLeaving, findArrivalsInPause} from './directive_check';
import {HistoryIndex, labelOf} from './history_index';
import type {PromiseBounds} from './promise_bounds';
import {findExcessiveRetries, findRetriesOfCrashingRequests} from './retry_checks';
import type {Disruption, SentRequest, SoakHistory, WrittenConfiguration} from './soak_history';
import {findArrivalsBeyondLimit} from './target_limit_check';

/** One violation of a promise. */
export interface Violation {
  readonly check: string;
  readonly detail: string;
}

type Check = (index: HistoryIndex, bounds: PromiseBounds) => readonly string[];

/** HTTP statuses by which a gateway states that a request was not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Length of a truncated body without a content length, which a reader cannot distinguish from a complete one. */
const unframedBodyBytes = 8;

const safetyChecks: Readonly<Record<string, Check>> = {
  'at-most-once': findRepeatedRuns,
  'true-refusal': findRefusalsOfRunRequests,
  'own-answer': findWrongAnswers,
  'true-denial': findWrongDenials,
  'nothing-invented': findRunsWithoutRequest,
  'allowed-service': findRunsAtWrongService,
  'no-step-back': findVersionRegressions,
  'no-exit': findUnexpectedExits,
  memory: findExcessiveMemory,
};

const timedChecks: Readonly<Record<string, Check>> = {
  drain: findArrivalsAfterDrain,
  'planned-stop': findCutsWithoutFault,
  configuration: findLateAdoptions,
  'retry-limit': findExcessiveRetries,
  'crashing-request': findRetriesOfCrashingRequests,
  'target-limit': findArrivalsBeyondLimit,
  'target-leaving': findArrivalsAfterLeaving,
  'target-pause': findArrivalsInPause,
  cancellation: findArrivalsAfterCancel,
  'time-out': findLateAnswers,
  recovery: findMissingRecovery,
};

/** Checks the history; with `includesTimedChecks`, also the promises that have a time bound. */
export function checkPromises(
  history: SoakHistory,
  bounds: PromiseBounds,
  {includesTimedChecks}: {readonly includesTimedChecks: boolean},
): readonly Violation[] {
  const index = new HistoryIndex(history, bounds);
  const checks = {...safetyChecks, ...(includesTimedChecks ? timedChecks : {})};
  return Object.entries(checks).flatMap(([check, find]) =>
    find(index, bounds).map(detail => ({check, detail})),
  );
}

function findRepeatedRuns({history, runsById}: HistoryIndex): readonly string[] {
  return history.requests
    .filter(({id, kind}) => kind !== 'read' && (runsById.get(id)?.length ?? 0) > 1)
    .map(request => {
      const targets = (runsById.get(request.id) ?? []).map(({targetId}) => targetId);
      return `${labelOf(request)} ran at ${targets.join(', ')}`;
    });
}

function findRefusalsOfRunRequests(index: HistoryIndex): readonly string[] {
  const refused = index.history.requests.filter(
    ({kind, end}) => kind !== 'read' && end.kind === 'answered' && notRunStatuses.has(end.status),
  );
  return refused
    .filter(({id}) => index.runsOf(id).length > 0)
    .map(request => `${labelOf(request)} ran at ${index.runsOf(request.id)[0]?.targetId ?? ''}`);
}

function findWrongAnswers(index: HistoryIndex): readonly string[] {
  return index.history.requests.flatMap(request => {
    const problem = problemWithAnswer(request, index);
    return problem === undefined ? [] : [`${labelOf(request)}: ${problem}`];
  });
}

function problemWithAnswer({id, end}: SentRequest, index: HistoryIndex): string | undefined {
  if (end.kind !== 'answered') return undefined;
  if (end.answeredId !== '' && end.answeredId !== id) return `has the id ${end.answeredId}`;
  const isSuccess = end.status >= 200 && end.status < 300;
  if (end.signature === undefined) return isSuccess ? 'a success without a signature' : undefined;
  const answers = index.answersById.get(id) ?? [];
  const matchingAnswers = answers.filter(({status}) => status === end.status);
  if (matchingAnswers.length === 0) return 'no target sent this status';
  if (!isSuccess) return undefined;
  const wholeBodies = matchingAnswers.map(({targetId}) => answerBody(targetId, id));
  if (wholeBodies.includes(end.body)) return undefined;
  const isUnframedCut = wholeBodies.some(body => body.slice(0, unframedBodyBytes) === end.body);
  return isUnframedCut ? undefined : `not the body of its target: "${end.body}"`;
}

/** Body of a target's answer to a request; unique for each pair of target and request. */
export function answerBody(targetId: string, requestId: string): string {
  return `${requestId} at ${targetId}: the whole answer`;
}

function findRunsWithoutRequest(index: HistoryIndex): readonly string[] {
  return [...index.runsById.values()].flat().flatMap(run => {
    const request = index.requestById.get(run.requestId);
    if (request === undefined) return [`${run.requestId} ran and no caller sent it`];
    const isSame =
      run.method === request.method && run.path === request.path && run.body === request.body;
    return isSame ? [] : [`${labelOf(request)} ran as ${run.method ?? ''} ${run.path ?? ''}`];
  });
}

function serviceOf({services}: WrittenConfiguration, path: string): string | undefined {
  const prefix = Object.keys(services).find(start => path.startsWith(start));
  return prefix === undefined ? undefined : services[prefix];
}

function findRunsAtWrongService({history, runsById}: HistoryIndex): readonly string[] {
  return [...runsById.values()].flat().flatMap(({requestId, path = '', service, targetId}) => {
    const isAllowed = history.configurations.some(
      configuration => serviceOf(configuration, path) === service,
    );
    return isAllowed ? [] : [`${requestId} for ${path} ran at ${targetId} of ${service}`];
  });
}

/** Finds refusals of requests as not routable although every configuration has a route for them. */
function findWrongDenials({history}: HistoryIndex): readonly string[] {
  return history.requests
    .filter(({end}) => {
      if (end.kind !== 'answered' || end.signature !== undefined) return false;
      return end.status >= 300 && end.status < 500 && !notRunStatuses.has(end.status);
    })
    .filter(({path}) =>
      history.configurations.every(configuration => serviceOf(configuration, path) !== undefined),
    )
    .map(request => `${labelOf(request)} for ${request.path}, which every version routes`);
}

/** The oldest and the newest configuration version that agree with how a request was handled. */
function possibleVersions(
  request: SentRequest,
  index: HistoryIndex,
): {readonly oldest: number; readonly newest: number} | undefined {
  const service = index.runsOf(request.id)[0]?.service;
  const isUnknownRoute = request.end.kind === 'answered' && request.end.status === 404;
  if (service === undefined && !isUnknownRoute) return undefined;
  const versions = index.history.configurations
    .filter(configuration => serviceOf(configuration, request.path) === service)
    .map(({version}) => version);
  if (versions.length === 0) return undefined;
  return {oldest: Math.min(...versions), newest: Math.max(...versions)};
}

/** Finds requests that a process handled by an older configuration version than one that it had used before. */
function findVersionRegressions(index: HistoryIndex): readonly string[] {
  const newestUsed = new Map<string, {readonly version: number; readonly atMs: number}>();
  const bySent = [...index.history.requests].sort((a, b) => a.sentAtMs - b.sentAtMs);
  return bySent.flatMap(request => {
    const versions = possibleVersions(request, index);
    if (versions === undefined) return [];
    const processKey = `${request.gateway}/${request.incarnation}`;
    const used = newestUsed.get(processKey);
    if (used === undefined || versions.oldest > used.version) {
      newestUsed.set(processKey, {version: versions.oldest, atMs: request.endedAtMs});
    }
    const isRegression = used !== undefined && versions.newest < used.version;
    return isRegression && request.sentAtMs > used.atMs
      ? [`${labelOf(request)} handled as version ${versions.newest} after ${used.version}`]
      : [];
  });
}

function findUnexpectedExits({history}: HistoryIndex): readonly string[] {
  return history.exits
    .filter(({asked, exitCode}) => !asked || (exitCode !== null && exitCode !== 0))
    .map(({gateway, exitCode, signal}) => `${gateway} ended with ${signal ?? exitCode ?? ''}`);
}

function findExcessiveMemory(
  {history}: HistoryIndex,
  {maxMemoryBytes}: PromiseBounds,
): readonly string[] {
  return history.memoryPeaks
    .filter(({bytes}) => bytes > maxMemoryBytes)
    .map(({gateway, bytes}) => `${gateway} used ${Math.round(bytes / 1e6)} MB`);
}

function findArrivalsAfterDrain(index: HistoryIndex, {drainMs}: PromiseBounds): readonly string[] {
  return index.history.leavings.flatMap(({targetId, atMs}) =>
    index.history.targetEvents
      .filter(event => event.kind === 'arrived' && event.targetId === targetId)
      .filter(event => event.atMs > atMs + drainMs)
      .flatMap(event => {
        const request = index.requestById.get(event.requestId);
        if (request === undefined) return [];
        const subjects = [request.gateway, targetId, 'store'];
        if (index.isDisrupted(subjects, atMs, event.atMs, ({planned}) => !planned)) return [];
        const lateMs = Math.round(event.atMs - atMs);
        return [`${labelOf(request)} reached ${targetId} ${lateMs} ms after it left`];
      }),
  );
}

function findCutsWithoutFault(
  index: HistoryIndex,
  {closeRaceMs}: PromiseBounds,
): readonly string[] {
  return index.history.requests
    .filter(({end}) => end.kind === 'cut')
    .filter(request => {
      const targets = index.arrivalsOf(request.id).map(({targetId}) => targetId);
      const {gateway, sentAtMs, endedAtMs} = request;
      const isUnplanned = ({planned}: Disruption) => !planned;
      return !index.isDisrupted([gateway, ...targets], sentAtMs, endedAtMs, isUnplanned);
    })
    .filter(
      request =>
        index.arrivalsOf(request.id).length > 0 ||
        request.endedAtMs - request.sentAtMs > closeRaceMs,
    )
    .map(request => `${labelOf(request)} was cut off without an unplanned disruption`);
}

function findLateAdoptions(index: HistoryIndex, {adoptionMs}: PromiseBounds): readonly string[] {
  const {configurations} = index.history;
  return index.history.requests.flatMap(request => {
    const adopted = configurations.filter(({atMs}) => atMs + adoptionMs < request.sentAtMs);
    const newest = adopted.at(-1)?.version ?? 0;
    const versions = possibleVersions(request, index);
    if (versions === undefined || versions.newest >= newest) return [];
    const sinceMs = adopted.at(-1)?.atMs ?? 0;
    if (index.isDisrupted([request.gateway, 'store'], sinceMs, request.sentAtMs)) return [];
    return [`${labelOf(request)} handled as version ${versions.newest}, not ${newest}`];
  });
}

function findArrivalsAfterCancel(
  index: HistoryIndex,
  {cancelMs}: PromiseBounds,
): readonly string[] {
  return index.history.requests
    .filter(({end}) => end.kind === 'left')
    .flatMap(request => {
      const late = index
        .arrivalsOf(request.id)
        .filter(({atMs}) => atMs > request.endedAtMs + cancelMs);
      const first = late[0];
      if (first === undefined) return [];
      const subjects = [request.gateway, first.targetId];
      if (index.isDisrupted(subjects, request.sentAtMs, first.atMs)) return [];
      return [`${labelOf(request)} reached ${first.targetId} after its caller cancelled it`];
    });
}

/** Finds answers after their route's timeout. Not for uploads: it counts from their end, which the history lacks. */
function findLateAnswers(index: HistoryIndex, bounds: PromiseBounds): readonly string[] {
  return index.history.requests
    .filter(({kind}) => kind !== 'send')
    .filter(({sentAtMs, endedAtMs}) => {
      return endedAtMs - sentAtMs > bounds.timeoutMs + bounds.timeoutSlackMs;
    })
    .filter(({gateway, sentAtMs, endedAtMs}) => !index.isDisrupted([gateway], sentAtMs, endedAtMs))
    .map(request => {
      const tookMs = Math.round(request.endedAtMs - request.sentAtMs);
      return `${labelOf(request)} took ${tookMs} ms`;
    });
}

function findMissingRecovery({history}: HistoryIndex, bounds: PromiseBounds): readonly string[] {
  const later = history.requests.filter(
    ({sentAtMs, end}) => sentAtMs > history.healedAtMs && end.kind !== 'left',
  );
  const crashingPaths = new Set(history.crashes.map(({path}) => path));
  const expected = later
    .filter(({path}) => !crashingPaths.has(path))
    .filter(({end}) => end.kind !== 'answered' || end.status !== 404);
  const served = expected.filter(({end}) => end.kind === 'answered' && end.status === 200);
  const late = history.notReady.map(name => `${name} was not ready in time`);
  if (later.length > 0 && served.length >= expected.length * bounds.minServedFraction) return late;
  return [
    ...late,
    `${served.length} of ${expected.length} requests served after all disruptions had ended`,
  ];
}
