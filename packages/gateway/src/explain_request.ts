/**
 * Tells the story of one request from the log lines of a gateway: what was decided, by which facts and how old they were,
 * and what else the gateway learned at that time about the targets that were involved.
 */
import type {JsonObject} from '@cuminsill/utils';
import {asObject, listField, numberField, parseJson, stringField} from '@cuminsill/utils';
import type {GatewayReason} from './final_answer';
import {gatewayReasons} from './final_answer';

/** One line of the story. */
export interface StoryLine {
  /** Moment of the log line, as it stands there. */
  readonly time: string;
  readonly text: string;
}

/** What is known of one request at one gateway. */
export interface RequestStory {
  readonly requestId: string;
  readonly gateway: string;
  readonly time: string;
  readonly outcome: string;
  readonly status: number;
  /** What was decided and by which facts, in reading order. */
  readonly decision: readonly string[];
  /** Lines about the involved targets, the store, configurations and evacuations, in order of time. */
  readonly surroundings: readonly StoryLine[];
  /** Lines near the request that were left out for their number, or that the reader was too slow for. */
  readonly missingLines: number;
}

/** Span before and after a request whose other lines belong to the story, in milliseconds. */
const includedBeforeMs = 15_000;
const includedAfterMs = 3_000;

/** How a try ended, for people. */
const attemptEndTexts: Readonly<Record<string, string>> = {
  answered: 'answered',
  declined: 'declined without running it',
  unsent: 'could not be reached; nothing was sent',
  lost: 'ended the connection without an answer, and may have run it',
  'timed-out': 'did not answer in time, and may have run it',
  cancelled: 'was given up because another answer was there, or the time had passed',
};

/** What lines of other kinds say, for people; lines of kinds that are not listed are left out. */
const surroundingLineTexts: Readonly<Record<string, (line: JsonObject) => string>> = {
  target: line => `target ${textOf(line, 'targetId')}: ${targetChangeText(line)}`,
  store: storeText,
  configuration: line => `configuration ${textOf(line, 'version')}: ${textOf(line, 'event')}`,
  evacuation: line =>
    `evacuation of ${textOf(line, 'failureDomain')} ${line['evacuated'] === true ? 'begins' : 'ends'}`,
  start: () => 'the gateway starts',
  stop: line => `the gateway stops, phase ${textOf(line, 'phase')}`,
  reload: line => `settings read again: ${textOf(line, 'outcome')}`,
  defect: line => `defect in the gateway: ${textOf(line, 'cause')}`,
};

/** The stories of a request in the text of one or several logs; one for each gateway that took it. */
export function explainRequest(logText: string, requestId: string): readonly RequestStory[] {
  const lines = logText.split('\n').flatMap((text): readonly JsonObject[] => {
    const line = asObject(parseJson(text));
    return line === undefined ? [] : [line];
  });
  return lines
    .filter(line => line['line'] === 'request' && line['requestId'] === requestId)
    .map(line => storyOf(line, lines));
}

/** The story as text for people. */
export function storyText(story: RequestStory): string {
  const head = `request ${story.requestId} at gateway ${story.gateway}, ${story.time}`;
  const decision = story.decision.map(text => `  ${text}`);
  const surroundings = story.surroundings.map(({time, text}) => `  ${time}  ${text}`);
  const missing =
    story.missingLines > 0
      ? [`  ${story.missingLines} lines near this time were left out of the log`]
      : [];
  const around = surroundings.length > 0 ? ['around that time:', ...surroundings] : [];
  return `${[head, ...decision, ...around, ...missing].join('\n')}\n`;
}

function storyOf(request: JsonObject, lines: readonly JsonObject[]): RequestStory {
  const near = lines.filter(line => isNear(line, request));
  const tries = listField(request, 'tries', value => asObject(value)) ?? [];
  const targetIds = new Set(tries.map(attempt => textOf(attempt, 'targetId')));
  return {
    requestId: textOf(request, 'requestId'),
    gateway: textOf(request, 'gateway'),
    time: textOf(request, 'time'),
    outcome: textOf(request, 'outcome'),
    status: numberField(request, 'status') ?? 0,
    decision: [outcomeText(request), ...tries.map(attemptText), ...factTexts(request)],
    surroundings: near.filter(line => isRelevant(line, request, targetIds)).map(surroundingOf),
    missingLines: near.reduce((sum, line) => sum + missingLinesOf(line), 0),
  };
}

function isNear(line: JsonObject, request: JsonObject): boolean {
  if (line['gateway'] !== request['gateway']) return false;
  const sinceMs = Date.parse(textOf(line, 'time')) - Date.parse(textOf(request, 'time'));
  return sinceMs >= -includedBeforeMs && sinceMs <= includedAfterMs;
}

/** Without a try, any target of the service may be the reason; otherwise those that were tried. */
function isRelevant(
  line: JsonObject,
  request: JsonObject,
  targetIds: ReadonlySet<string>,
): boolean {
  if (surroundingLineTexts[textOf(line, 'line')] === undefined) return false;
  if (line['line'] !== 'target') return true;
  if (targetIds.size > 0) return targetIds.has(textOf(line, 'targetId'));
  return line['service'] === undefined || line['service'] === request['service'];
}

function surroundingOf(line: JsonObject): StoryLine {
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
  return `target ${textOf(attempt, 'targetId')} ${attemptEndTexts[end] ?? end}${suffix}, ${elapsed}`;
}

function factTexts(request: JsonObject): readonly string[] {
  const route = `route ${textOf(request, 'route')}, service ${textOf(request, 'service')}, `;
  const version = `configuration ${textOf(request, 'configVersion')}`;
  const usable = `${textOf(request, 'usableTargets')} of ${textOf(request, 'listedTargets')} targets usable`;
  const age = `by a list that was ${textOf(request, 'storeAgeMs')} ms old`;
  const expectedMs = numberField(request, 'expectedMs');
  const expected =
    expectedMs === undefined
      ? []
      : [
          `expected at the chosen target: ${expectedMs} ms, of it ${textOf(request, 'waitMs')} ms waiting`,
        ];
  return [`${route}${version}`, `${usable}, ${age}`, ...expected];
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

function targetChangeText(line: JsonObject): string {
  const reason = stringField(line, 'reason');
  const change = stringField(line, 'state') ?? textOf(line, 'event');
  return reason === undefined ? change : `${change}, ${reason}`;
}

/** A field as text; a field that is missing is shown as such, because a reader has to know. */
function textOf(line: JsonObject, field: string): string {
  const value = line[field];
  if (value === undefined || value === null) return 'unknown';
  return typeof value === 'string' ? value : JSON.stringify(value);
}
