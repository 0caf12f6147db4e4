/**
 * Explains one request from the log lines of gateways: the decision, the facts behind it and their age, and related
 * events near the time of the request.
 */
import type {JsonObject} from '@cuminsill/utils';
import {asObject, listField, numberField, parseJson, stringField} from '@cuminsill/utils';
import type {RefusalReason} from '../admission';
import type {GatewayReason} from '../requests/final_answer';
import {gatewayReasons} from '../requests/final_answer';
import type {PoisonEvent} from '../poison/poison_tracker';

/** A related log line. */
export interface RelatedEvent {
  /** Time of the log line, as logged. */
  readonly time: string;
  readonly text: string;
}

/** Explanation of one request at one gateway. */
export interface RequestExplanation {
  readonly requestId: string;
  readonly gateway: string;
  readonly time: string;
  readonly outcome: string;
  readonly status: number;
  /** The decision and the facts behind it, in reading order. */
  readonly decision: readonly string[];
  /**
   * Related lines about targets, the store, configurations, evacuations and the gateway itself, in the order of the
   * log.
   */
  readonly surroundings: readonly RelatedEvent[];
  /** Log lines near the request that were suppressed by the rate limit or dropped because the reader was too slow. */
  readonly missingLines: number;
}

/** Log lines within these times before and after a request are included. */
const includedBeforeMs = 15_000;
const includedAfterMs = 3_000;

/** Text for each end of an attempt. */
const attemptEndTexts: Readonly<Record<string, string>> = {
  answered: 'answered',
  declined: 'declined without running it',
  unsent: 'could not be reached; nothing was sent',
  lost: 'ended the connection without an answer, and may have run it',
  'timed-out': 'did not answer in time, and may have run it',
  cancelled: 'was given up because another answer was there, or the time had passed',
};

/** Text for related lines by kind; lines of other kinds are left out. */
const surroundingLineTexts: Readonly<Record<string, (line: JsonObject) => string>> = {
  target: line => `target ${textOf(line, 'targetId')}: ${targetChangeText(line)}`,
  store: storeText,
  configuration: line => `configuration ${textOf(line, 'version')}: ${textOf(line, 'event')}`,
  evacuation: line =>
    `evacuation of ${textOf(line, 'failureDomain')} ${line['evacuated'] === true ? 'begins' : 'ends'}`,
  poison: poisonText,
  quota: quotaText,
  start: () => 'the gateway starts',
  stop: line => `the gateway stops, phase ${textOf(line, 'phase')}`,
  lease: line =>
    `lease on the keys: ${textOf(line, 'state')}, age ${textOf(line, 'ageMs')} ms, ${textOf(line, 'reason')}`,
  reload: line => `settings read again: ${textOf(line, 'outcome')}`,
  defect: line => `defect in the gateway: ${textOf(line, 'cause')}`,
};

/** Explains a request from the text of one or several logs, once for each gateway that received it. */
export function explainRequest(logText: string, requestId: string): readonly RequestExplanation[] {
  const lines = logText.split('\n').flatMap((text): readonly JsonObject[] => {
    const line = asObject(parseJson(text));
    return line === undefined ? [] : [line];
  });
  return lines
    .filter(line => line['line'] === 'request' && line['requestId'] === requestId)
    .map(line => explanationOf(line, lines));
}

/** Formats an explanation as text. */
export function explanationText(explanation: RequestExplanation): string {
  const head = `request ${explanation.requestId} at gateway ${explanation.gateway}, ${explanation.time}`;
  const decision = explanation.decision.map(text => `  ${text}`);
  const surroundings = explanation.surroundings.map(({time, text}) => `  ${time}  ${text}`);
  const missing =
    explanation.missingLines > 0
      ? [`  ${explanation.missingLines} lines near this time were left out of the log`]
      : [];
  const around = surroundings.length > 0 ? ['around that time:', ...surroundings] : [];
  return `${[head, ...decision, ...around, ...missing].join('\n')}\n`;
}

function explanationOf(request: JsonObject, lines: readonly JsonObject[]): RequestExplanation {
  const near = lines.filter(line => isNear(line, request));
  const tries = listField(request, 'tries', value => asObject(value)) ?? [];
  const targetIds = new Set(tries.map(attempt => textOf(attempt, 'targetId')));
  return {
    requestId: textOf(request, 'requestId'),
    gateway: textOf(request, 'gateway'),
    time: textOf(request, 'time'),
    outcome: textOf(request, 'outcome'),
    status: numberField(request, 'status') ?? 0,
    decision: [outcomeText(request), ...tries.map(attemptText), ...describeInputs(request)],
    surroundings: near.filter(line => isRelevant(line, request, targetIds)).map(surroundingOf),
    missingLines: near.reduce((sum, line) => sum + missingLinesOf(line), 0),
  };
}

function isNear(line: JsonObject, request: JsonObject): boolean {
  if (line['gateway'] !== request['gateway']) return false;
  const sinceMs = Date.parse(textOf(line, 'time')) - Date.parse(textOf(request, 'time'));
  return sinceMs >= -includedBeforeMs && sinceMs <= includedAfterMs;
}

/** Without an attempt, any target of the service is relevant; otherwise only the attempted ones are. */
function isRelevant(
  line: JsonObject,
  request: JsonObject,
  targetIds: ReadonlySet<string>,
): boolean {
  if (surroundingLineTexts[textOf(line, 'line')] === undefined) return false;
  if (line['line'] === 'poison') return line['fingerprint'] === request['fingerprint'];
  if (line['line'] === 'quota') {
    return line['workspace'] === undefined || line['workspace'] === request['workspace'];
  }
  if (line['line'] !== 'target') return true;
  if (targetIds.size > 0) return targetIds.has(textOf(line, 'targetId'));
  return line['service'] === undefined || line['service'] === request['service'];
}

function surroundingOf(line: JsonObject): RelatedEvent {
  const describe = surroundingLineTexts[textOf(line, 'line')];
  return {time: textOf(line, 'time'), text: describe?.(line) ?? ''};
}

function missingLinesOf(line: JsonObject): number {
  return (numberField(line, 'suppressedLines') ?? 0) + (numberField(line, 'droppedLines') ?? 0);
}

function outcomeText(request: JsonObject): string {
  const outcome = textOf(request, 'outcome');
  const status = textOf(request, 'status');
  const elapsed = `after ${textOf(request, 'elapsedMs')} ms`;
  if (outcome === 'relayed') return `answered by its target with ${status} ${elapsed}`;
  if (outcome === 'caller-gone') return `the caller closed its connection ${elapsed}`;
  const retryAfterMs = numberField(request, 'retryAfterMs');
  const retryHint =
    retryAfterMs === undefined ? '' : ` The caller may come back in ${retryAfterMs} ms.`;
  return `refused with ${status} ${elapsed}, ${reasonText(outcome)}${retryHint}`;
}

function reasonText(outcome: string): string {
  if (!(outcome in gatewayReasons)) return outcome;
  const {code, text} = gatewayReasons[outcome as GatewayReason];
  return `${code} ${outcome}: ${text}`;
}

function attemptText(attempt: JsonObject): string {
  const end = textOf(attempt, 'end');
  const detail = stringField(attempt, 'detail');
  const suffix = detail === undefined ? '' : ` (${detail})`;
  const elapsed = `${textOf(attempt, 'elapsedMs')} ms`;
  const ended = `${attemptEndTexts[end] ?? end}${suffix}, ${elapsed}`;
  return `target ${textOf(attempt, 'targetId')} ${ended}${coldSendText(attempt)}`;
}

function coldSendText(attempt: JsonObject): string {
  const coldSend = asObject(attempt['coldSend']);
  if (coldSend === undefined) return '';
  const {senderRank, rankedGateways} = coldSend;
  return `; it counted as cold, this gateway has rank ${String(senderRank)} of ${String(rankedGateways)} as a sender`;
}

function describeInputs(request: JsonObject): readonly string[] {
  const route = `route ${textOf(request, 'route')}, service ${textOf(request, 'service')}, `;
  const version = `configuration ${textOf(request, 'configVersion')}`;
  const usable = `${textOf(request, 'usableTargets')} of ${textOf(request, 'listedTargets')} targets usable`;
  const age = `by a list that was ${textOf(request, 'storeAgeMs')} ms old`;
  const expectedMs = numberField(request, 'expectedMs');
  const expected =
    expectedMs === undefined
      ? []
      : [
          `expected at the chosen target: ${expectedMs} ms, of it ${textOf(request, 'waitMs')} ms waiting` +
            remainingText(request),
        ];
  return [
    `${route}${version}`,
    `${usable}, ${age}`,
    ...keyTexts(request),
    ...expected,
    ...admissionTexts(request),
  ];
}

/** Why keys were not used, and whose request it was. */
function keyTexts(request: JsonObject): readonly string[] {
  const workspace = stringField(request, 'workspace');
  const ofWorkspace = workspace === undefined ? [] : [workspaceText(request, workspace)];
  if (request['outcome'] !== 'keys-not-confirmed') return ofWorkspace;
  const leaseAgeMs = numberField(request, 'leaseAgeMs');
  const age =
    leaseAgeMs === undefined
      ? 'the gateway knew of no read of the store that confirms its keys'
      : `the last read of the store that confirms the keys, by any gateway, was sent ${leaseAgeMs} ms before`;
  return [...ofWorkspace, age];
}

function workspaceText(request: JsonObject, workspace: string): string {
  if (request['outcome'] !== 'quota-exceeded') return `workspace ${workspace}`;
  return (
    `workspace ${workspace}: its limit over all gateways left no room, or no owner of the limit ` +
    'answered in time; see the quota lines'
  );
}

function quotaText(line: JsonObject): string {
  const owner = stringField(line, 'owner');
  const state = textOf(line, 'state');
  if (owner !== undefined) return `quotas: ${state} (gateway ${owner})`;
  return `workspace ${textOf(line, 'workspace')} is ${state} by its quota here`;
}

/** Text for each reason for which admission refuses a request. */
const refusalTexts: Readonly<Record<RefusalReason, string>> = {
  deadline: 'refused because its answer would come after its deadline',
  wait: 'refused because it would wait longer than it accepts',
  priority: 'refused to leave room for more urgent requests',
  'fair-share': 'refused because its workspace has had its fair share of the service',
};

/** What admission decided on; lines of earlier versions do not state it. */
function admissionTexts(request: JsonObject): readonly string[] {
  const rank = stringField(request, 'rank');
  if (rank === undefined) return [];
  const workspace = stringField(request, 'workspace');
  const of = workspace === undefined ? '' : `workspace ${workspace}, `;
  const reason = stringField(request, 'refusedFor');
  const accepted = `admission: ${of}rank ${rank}, a wait of ${textOf(request, 'acceptedWaitMs')} ms accepted`;
  if (reason === undefined) return [accepted];
  const refusal = reason in refusalTexts ? refusalTexts[reason as RefusalReason] : reason;
  return [`${accepted}; ${refusal}`];
}

/** Time that was left at the admission; lines of earlier versions do not state it. */
function remainingText(request: JsonObject): string {
  const remainingMs = numberField(request, 'remainingMs');
  return remainingMs === undefined ? '' : `, with ${remainingMs} ms left`;
}

function storeText(line: JsonObject): string {
  const kind = textOf(line, 'kind');
  if (line['connected'] !== true) {
    return `store does not answer for ${kind}: ${textOf(line, 'reason')}`;
  }
  const outageMs = numberField(line, 'outageMs') ?? 0;
  return outageMs > 0
    ? `store answers again for ${kind} after ${outageMs} ms`
    : `store answers for ${kind}`;
}

/** Text for each event of a `poison` line; the events are those of `PoisonEvent`. */
const poisonEventTexts: Readonly<Record<PoisonEvent, string>> = {
  suspected: 'a target went down while it ran this request',
  'loss-discarded': 'a lost connection does not count against this request',
  cleared: 'an answer cleared this request',
  quarantined: 'this request is refused from now on',
};

function poisonText(line: JsonObject): string {
  const event = textOf(line, 'event');
  const text = event in poisonEventTexts ? poisonEventTexts[event as PoisonEvent] : event;
  const reason = stringField(line, 'reason');
  const lostTargetIds = line['lostTargetIds'];
  const details = [
    ...(line['targetId'] === undefined ? [] : [`target ${textOf(line, 'targetId')}`]),
    ...(reason === undefined ? [] : [reason]),
    ...(lostTargetIds === undefined ? [] : [`lost so far: ${JSON.stringify(lostTargetIds)}`]),
  ];
  return [text, ...details].join(', ');
}

function targetChangeText(line: JsonObject): string {
  const reason = stringField(line, 'reason');
  const change = stringField(line, 'state') ?? textOf(line, 'event');
  return reason === undefined ? change : `${change}, ${reason}`;
}

/** Returns a field as text; shows a missing field as `unknown`. */
function textOf(line: JsonObject, field: string): string {
  const value = line[field];
  if (value === undefined || value === null) return 'unknown';
  return typeof value === 'string' ? value : JSON.stringify(value);
}
