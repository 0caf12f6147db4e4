/**
 * The promises that a soak checks, each over the whole history of a run. Checks with a time bound depend on how fast the
 * machine is and are left out where a verdict has to be the same on every run.
 */
import type {
  Disruption,
  SentRequest,
  SoakHistory,
  TargetEvent,
  WrittenConfiguration,
} from './soak_history';

/** One promise that was broken. */
export interface Violation {
  readonly check: string;
  readonly detail: string;
}

/** Bounds of the deployment that the checks go by. */
export interface PromiseBounds {
  /** Calm time before a promise with a time bound holds again. */
  readonly stabilityMs: number;
  /** A target that leaves gets no new work after this. */
  readonly drainMs: number;
  /** A configuration is in force after this. */
  readonly applyMs: number;
  /** A request that crosses the end of its connection ends within this. */
  readonly crossingMs: number;
  /** A caller's departure reaches the target within this. */
  readonly cancelMs: number;
  /** Time-out of every route, and how much later an answer may come. */
  readonly timeoutMs: number;
  readonly timeoutSlackMs: number;
  /** Limit on requests sent to a further target, over all gateways. */
  readonly retryRatio: number;
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  readonly memoryBytes: number;
  /** Part of the requests after the last disruption that is served at least. */
  readonly servedShareAfter: number;
}

type Check = (facts: HistoryFacts, bounds: PromiseBounds) => readonly string[];

/** Statuses that promise that a request was not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Body of an answer that has no length and was cut; no reader can tell that it is not whole. */
const unframedStartBytes = 8;

const safetyChecks: Readonly<Record<string, Check>> = {
  'at-most-once': runTwice,
  'true-refusal': falseRefusals,
  'own-answer': strangeAnswers,
  'true-denial': falseDenials,
  'nothing-invented': inventedRuns,
  'allowed-service': strayRuns,
  'no-step-back': stepsBack,
  'no-exit': ownExits,
  memory: tooMuchMemory,
};

const timedChecks: Readonly<Record<string, Check>> = {
  drain: lateArrivals,
  'planned-stop': cutByPlannedStops,
  configuration: lateConfigurations,
  'retry-limit': tooManyRepeats,
  cancellation: runsAfterDeparture,
  'time-out': lateAnswers,
  recovery: unservedAfterwards,
};

/** Checks the history; with `timed`, also the promises that have a time bound. */
export function checkPromises(
  history: SoakHistory,
  bounds: PromiseBounds,
  {timed}: {readonly timed: boolean},
): readonly Violation[] {
  const facts = new HistoryFacts(history, bounds);
  const checks = {...safetyChecks, ...(timed ? timedChecks : {})};
  return Object.entries(checks).flatMap(([check, find]) =>
    find(facts, bounds).map(detail => ({check, detail})),
  );
}

/** The history with what several checks look up. */
class HistoryFacts {
  readonly requestById: ReadonlyMap<string, SentRequest>;
  readonly runsById: ReadonlyMap<string, readonly TargetEvent[]>;
  readonly arrivalsById: ReadonlyMap<string, readonly TargetEvent[]>;
  readonly answersById: ReadonlyMap<string, readonly TargetEvent[]>;

  constructor(
    readonly history: SoakHistory,
    private readonly bounds: PromiseBounds,
  ) {
    this.requestById = new Map(history.requests.map(request => [request.id, request]));
    this.runsById = byRequest(history.targetEvents, 'ran');
    this.arrivalsById = byRequest(history.targetEvents, 'arrived');
    this.answersById = byRequest(history.targetEvents, 'answered');
  }

  runs(id: string): readonly TargetEvent[] {
    return this.runsById.get(id) ?? [];
  }

  arrivals(id: string): readonly TargetEvent[] {
    return this.arrivalsById.get(id) ?? [];
  }

  /** Whether a disruption that `counts` touches the span or the calm time before it. */
  disturbed(
    subjects: readonly string[],
    fromMs: number,
    untilMs: number,
    counts: (disruption: Disruption) => boolean = () => true,
  ): boolean {
    const {stabilityMs} = this.bounds;
    return this.history.disruptions.some(
      disruption =>
        subjects.includes(disruption.subject) &&
        disruption.fromMs <= untilMs &&
        disruption.untilMs + stabilityMs >= fromMs &&
        counts(disruption),
    );
  }
}

function byRequest(
  events: readonly TargetEvent[],
  kind: TargetEvent['kind'],
): ReadonlyMap<string, readonly TargetEvent[]> {
  const found = new Map<string, TargetEvent[]>();
  for (const event of events) {
    if (event.kind !== kind) continue;
    const list = found.get(event.requestId) ?? [];
    list.push(event);
    found.set(event.requestId, list);
  }
  return found;
}

function describe({id, kind, gateway, end}: SentRequest): string {
  const how = end.kind === 'answered' ? String(end.status) : end.kind;
  return `${id} (${kind} at ${gateway}, ended ${how})`;
}

function runTwice({history, runsById}: HistoryFacts): readonly string[] {
  return history.requests
    .filter(({id, kind}) => kind !== 'read' && (runsById.get(id)?.length ?? 0) > 1)
    .map(request => {
      const targets = (runsById.get(request.id) ?? []).map(({targetId}) => targetId);
      return `${describe(request)} ran at ${targets.join(', ')}`;
    });
}

function falseRefusals(facts: HistoryFacts): readonly string[] {
  const refused = facts.history.requests.filter(
    ({kind, end}) => kind !== 'read' && end.kind === 'answered' && notRunStatuses.has(end.status),
  );
  return refused
    .filter(({id}) => facts.runs(id).length > 0)
    .map(request => `${describe(request)} ran at ${facts.runs(request.id)[0]?.targetId ?? ''}`);
}

function strangeAnswers(facts: HistoryFacts): readonly string[] {
  return facts.history.requests.flatMap(request => {
    const problem = problemOfAnswer(request, facts);
    return problem === undefined ? [] : [`${describe(request)}: ${problem}`];
  });
}

function problemOfAnswer({id, end}: SentRequest, facts: HistoryFacts): string | undefined {
  if (end.kind !== 'answered') return undefined;
  if (end.answeredId !== '' && end.answeredId !== id) return `bears the id ${end.answeredId}`;
  const isSuccess = end.status >= 200 && end.status < 300;
  if (end.signature === undefined) return isSuccess ? 'a success without a signature' : undefined;
  const answers = facts.answersById.get(id) ?? [];
  const given = answers.filter(({status}) => status === end.status);
  if (given.length === 0) return 'no target gave this status';
  if (!isSuccess) return undefined;
  const whole = given.map(({targetId}) => bodyOf(targetId, id));
  if (whole.includes(end.body)) return undefined;
  const isCutBody = whole.some(body => body.slice(0, unframedStartBytes) === end.body);
  return isCutBody ? undefined : `not the body of its target: "${end.body}"`;
}

/** Body that a target gives to a request; no two requests share one. */
export function bodyOf(targetId: string, requestId: string): string {
  return `${requestId} at ${targetId}: the whole answer`;
}

function inventedRuns(facts: HistoryFacts): readonly string[] {
  return [...facts.runsById.values()].flat().flatMap(run => {
    const request = facts.requestById.get(run.requestId);
    if (request === undefined) return [`${run.requestId} ran and no caller sent it`];
    const isSame =
      run.method === request.method && run.path === request.path && run.body === request.body;
    return isSame ? [] : [`${describe(request)} ran as ${run.method ?? ''} ${run.path ?? ''}`];
  });
}

function serviceOf({services}: WrittenConfiguration, path: string): string | undefined {
  const prefix = Object.keys(services).find(start => path.startsWith(start));
  return prefix === undefined ? undefined : services[prefix];
}

function strayRuns({history, runsById}: HistoryFacts): readonly string[] {
  return [...runsById.values()].flat().flatMap(({requestId, path = '', service, targetId}) => {
    const isAllowed = history.configurations.some(
      configuration => serviceOf(configuration, path) === service,
    );
    return isAllowed ? [] : [`${requestId} for ${path} ran at ${targetId} of ${service}`];
  });
}

/** Refusals that say a request cannot be served, though every configuration allows it. */
function falseDenials({history}: HistoryFacts): readonly string[] {
  return history.requests
    .filter(({end}) => {
      if (end.kind !== 'answered' || end.signature !== undefined) return false;
      return end.status >= 300 && end.status < 500 && !notRunStatuses.has(end.status);
    })
    .filter(({path}) =>
      history.configurations.every(configuration => serviceOf(configuration, path) !== undefined),
    )
    .map(request => `${describe(request)} for ${request.path}, which every version allows`);
}

/** Versions that explain how a request was handled, as the oldest and the newest one possible. */
function versionsThatExplain(
  request: SentRequest,
  facts: HistoryFacts,
): {readonly oldest: number; readonly newest: number} | undefined {
  const service = facts.runs(request.id)[0]?.service;
  const isUnknown = request.end.kind === 'answered' && request.end.status === 404;
  if (service === undefined && !isUnknown) return undefined;
  const versions = facts.history.configurations
    .filter(configuration => serviceOf(configuration, request.path) === service)
    .map(({version}) => version);
  if (versions.length === 0) return undefined;
  return {oldest: Math.min(...versions), newest: Math.max(...versions)};
}

/** A process that has used one version and handles a later request as only an older version allows. */
function stepsBack(facts: HistoryFacts): readonly string[] {
  const newestUsed = new Map<string, {readonly version: number; readonly atMs: number}>();
  const bySent = [...facts.history.requests].sort((a, b) => a.sentAtMs - b.sentAtMs);
  return bySent.flatMap(request => {
    const explained = versionsThatExplain(request, facts);
    if (explained === undefined) return [];
    const process = `${request.gateway}/${request.incarnation}`;
    const used = newestUsed.get(process);
    if (used === undefined || explained.oldest > used.version) {
      newestUsed.set(process, {version: explained.oldest, atMs: request.endedAtMs});
    }
    const isBack = used !== undefined && explained.newest < used.version;
    return isBack && request.sentAtMs > used.atMs
      ? [`${describe(request)} handled as version ${explained.newest} after ${used.version}`]
      : [];
  });
}

function ownExits({history}: HistoryFacts): readonly string[] {
  return history.exits
    .filter(({asked, exitCode}) => !asked || (exitCode !== null && exitCode !== 0))
    .map(({gateway, exitCode, signal}) => `${gateway} ended with ${signal ?? exitCode ?? ''}`);
}

function tooMuchMemory({history}: HistoryFacts, {memoryBytes}: PromiseBounds): readonly string[] {
  return history.memoryPeaks
    .filter(({bytes}) => bytes > memoryBytes)
    .map(({gateway, bytes}) => `${gateway} used ${Math.round(bytes / 1e6)} MB`);
}

function lateArrivals(facts: HistoryFacts, {drainMs}: PromiseBounds): readonly string[] {
  return facts.history.leavings.flatMap(({targetId, atMs}) =>
    facts.history.targetEvents
      .filter(event => event.kind === 'arrived' && event.targetId === targetId)
      .filter(event => event.atMs > atMs + drainMs)
      .flatMap(event => {
        const request = facts.requestById.get(event.requestId);
        if (request === undefined) return [];
        const subjects = [request.gateway, targetId, 'store'];
        if (facts.disturbed(subjects, atMs, event.atMs, ({planned}) => !planned)) return [];
        const lateMs = Math.round(event.atMs - atMs);
        return [`${describe(request)} reached ${targetId} ${lateMs} ms after it left`];
      }),
  );
}

function cutByPlannedStops(facts: HistoryFacts, {crossingMs}: PromiseBounds): readonly string[] {
  return facts.history.requests
    .filter(({end}) => end.kind === 'cut')
    .filter(request => {
      const targets = facts.arrivals(request.id).map(({targetId}) => targetId);
      const {gateway, sentAtMs, endedAtMs} = request;
      const unplanned = ({planned}: Disruption) => !planned;
      return !facts.disturbed([gateway, ...targets], sentAtMs, endedAtMs, unplanned);
    })
    .filter(
      request =>
        facts.arrivals(request.id).length > 0 || request.endedAtMs - request.sentAtMs > crossingMs,
    )
    .map(request => `${describe(request)} was cut without an unplanned disruption`);
}

function lateConfigurations(facts: HistoryFacts, {applyMs}: PromiseBounds): readonly string[] {
  const {configurations} = facts.history;
  return facts.history.requests.flatMap(request => {
    const inForce = configurations.filter(({atMs}) => atMs + applyMs < request.sentAtMs);
    const newest = inForce.at(-1)?.version ?? 0;
    const explained = versionsThatExplain(request, facts);
    if (explained === undefined || explained.newest >= newest) return [];
    const sinceMs = inForce.at(-1)?.atMs ?? 0;
    if (facts.disturbed([request.gateway, 'store'], sinceMs, request.sentAtMs)) return [];
    return [`${describe(request)} handled as version ${explained.newest}, ${newest} is in force`];
  });
}

function tooManyRepeats(facts: HistoryFacts, bounds: PromiseBounds): readonly string[] {
  const {retryWindowMs, retryRatio, retrySlack} = bounds;
  const services = new Set(facts.history.targetEvents.map(({service}) => service));
  return [...services].flatMap(service => {
    const repeats = [...facts.arrivalsById.values()]
      .flatMap(arrivals => arrivals.filter(event => event.service === service).slice(1))
      .map(({atMs}) => atMs)
      .sort((a, b) => a - b);
    const firsts = [...facts.arrivalsById.values()]
      .flatMap(arrivals => arrivals.filter(event => event.service === service).slice(0, 1))
      .map(({atMs}) => atMs);
    const countIn = (times: readonly number[], fromMs: number) =>
      times.filter(atMs => atMs >= fromMs && atMs < fromMs + retryWindowMs).length;
    return repeats.flatMap(fromMs => {
      const count = countIn(repeats, fromMs);
      const requests = Math.max(
        ...[0, retryWindowMs / 2, retryWindowMs].map(backMs => countIn(firsts, fromMs - backMs)),
      );
      const limit = requests * retryRatio + retrySlack;
      return count > limit ? [`${service}: ${count} repeats, at most ${limit} are allowed`] : [];
    });
  });
}

function runsAfterDeparture(facts: HistoryFacts, {cancelMs}: PromiseBounds): readonly string[] {
  return facts.history.requests
    .filter(({end}) => end.kind === 'left')
    .flatMap(request => {
      const late = facts
        .arrivals(request.id)
        .filter(({atMs}) => atMs > request.endedAtMs + cancelMs);
      const first = late[0];
      if (first === undefined) return [];
      const subjects = [request.gateway, first.targetId];
      if (facts.disturbed(subjects, request.sentAtMs, first.atMs)) return [];
      return [`${describe(request)} reached ${first.targetId} after its caller had left`];
    });
}

/** Requests without an answer for longer than their route's time-out. Uploads count from their end, which is not known. */
function lateAnswers(facts: HistoryFacts, bounds: PromiseBounds): readonly string[] {
  return facts.history.requests
    .filter(({kind}) => kind !== 'send')
    .filter(({sentAtMs, endedAtMs}) => {
      return endedAtMs - sentAtMs > bounds.timeoutMs + bounds.timeoutSlackMs;
    })
    .filter(({gateway, sentAtMs, endedAtMs}) => !facts.disturbed([gateway], sentAtMs, endedAtMs))
    .map(request => {
      const tookMs = Math.round(request.endedAtMs - request.sentAtMs);
      return `${describe(request)} took ${tookMs} ms`;
    });
}

function unservedAfterwards({history}: HistoryFacts, bounds: PromiseBounds): readonly string[] {
  const after = history.requests.filter(
    ({sentAtMs, end}) => sentAtMs > history.healedAtMs && end.kind !== 'left',
  );
  const expected = after.filter(({end}) => end.kind !== 'answered' || end.status !== 404);
  const served = expected.filter(({end}) => end.kind === 'answered' && end.status === 200);
  const late = history.notReady.map(name => `${name} was not ready in time`);
  if (after.length > 0 && served.length >= expected.length * bounds.servedShareAfter) return late;
  return [
    ...late,
    `${served.length} of ${expected.length} requests served after all disruptions had ended`,
  ];
}
