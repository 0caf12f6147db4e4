/** Names why a request was refused, failed or late, from the log line of its decision. */
import type {JsonObject} from '@cuminsill/utils';
import {asObject, numberField, stringField} from '@cuminsill/utils';

/** Why a request was not answered within its target latency; docs/OPERATIONS.md explains each. */
export type LossReason =
  | 'caller-left'
  | 'gateway-starting'
  | 'gateway-stopping'
  | 'gateway-busy'
  | 'gateway-slow'
  | 'refused-wait'
  | 'refused-deadline'
  | 'refused-share'
  | 'refused-poison'
  | 'no-target'
  | 'no-connection'
  | 'target-declined'
  | 'target-failed'
  | 'answer-lost'
  | 'target-timed-out'
  | 'cache-miss'
  | 'queued'
  | 'target-slow'
  | 'unexplained';

/** What became of a request. */
export type LossKind = 'refused' | 'failed' | 'late';

/** A request that was not answered in time. */
export interface Loss {
  readonly kind: LossKind;
  readonly reason: LossReason;
}

interface Try {
  readonly end: string;
  readonly elapsedMs: number;
  readonly isHeld: boolean | undefined;
}

/** Longer times in the gateway itself, outside of all tries, make it the reason. */
const maxGatewayMs = 50;
/** Shorter expected waits are within the error of the estimate. */
const minWaitMs = 20;
const minErrorStatus = 500;
const noCode: Loss = {kind: 'refused', reason: 'unexplained'};

const refusalReasons: Readonly<Record<string, LossReason>> = {
  'no-configuration': 'gateway-starting',
  stopping: 'gateway-stopping',
  'gateway-busy': 'gateway-busy',
  'no-usable-target': 'no-target',
  'targets-declined': 'target-declined',
  'deadline-before-sending': 'refused-deadline',
  quarantined: 'refused-poison',
  'quota-exceeded': 'refused-share',
};

const admissionReasons: Readonly<Record<string, LossReason>> = {
  wait: 'refused-wait',
  deadline: 'refused-deadline',
  priority: 'refused-share',
  'fair-share': 'refused-share',
};

const failureReasons: Readonly<Record<string, LossReason>> = {
  'outcome-unknown': 'answer-lost',
  'target-timed-out': 'target-timed-out',
};

/** Ends of earlier tries that explain a late answer, the most telling one first. */
const lateReasonsByEnd: ReadonlyArray<readonly [end: string, reason: LossReason]> = [
  ['lost', 'answer-lost'],
  ['timed-out', 'target-timed-out'],
  ['unsent', 'no-connection'],
  ['declined', 'target-declined'],
];

/** Returns what was lost, and why; undefined for a request that was answered in time or that no route allows. */
export function lossOf(line: JsonObject): Loss | undefined {
  const outcome = stringField(line, 'outcome') ?? '';
  const status = numberField(line, 'status') ?? 0;
  if (outcome === 'caller-gone') return {kind: 'failed', reason: 'caller-left'};
  if (outcome === 'relayed') {
    return status >= minErrorStatus ? {kind: 'failed', reason: 'target-failed'} : latenessOf(line);
  }
  if (outcome === 'overloaded') {
    const reason = admissionReasons[stringField(line, 'refusedFor') ?? ''];
    return reason === undefined ? noCode : {kind: 'refused', reason};
  }
  const failure = failureReasons[outcome];
  if (failure !== undefined) return {kind: 'failed', reason: failure};
  const refusal = refusalReasons[outcome];
  if (refusal !== undefined) return {kind: 'refused', reason: refusal};
  return status >= minErrorStatus ? noCode : undefined;
}

function latenessOf(line: JsonObject): Loss | undefined {
  const elapsedMs = numberField(line, 'elapsedMs') ?? 0;
  const targetLatencyMs = numberField(line, 'targetLatencyMs');
  if (targetLatencyMs === undefined || elapsedMs <= targetLatencyMs) return undefined;
  return {kind: 'late', reason: lateReasonOf(line, elapsedMs)};
}

function lateReasonOf(line: JsonObject, elapsedMs: number): LossReason {
  const tries = triesOf(line);
  const earlier = lateReasonsByEnd.find(([end]) => tries.some(attempt => attempt.end === end));
  if (earlier !== undefined) return earlier[1];
  const last = tries.findLast(({end}) => end === 'answered');
  if (last === undefined) return 'unexplained';
  if (tries.length === 1 && elapsedMs - last.elapsedMs > maxGatewayMs) return 'gateway-slow';
  if (last.isHeld === false) return 'cache-miss';
  return (numberField(line, 'waitMs') ?? 0) >= minWaitMs ? 'queued' : 'target-slow';
}

function triesOf(line: JsonObject): readonly Try[] {
  const tries = Array.isArray(line['tries']) ? (line['tries'] as readonly unknown[]) : [];
  return tries.flatMap(value => {
    const attempt = asObject(value);
    if (attempt === undefined) return [];
    const isHeld = attempt['isHeld'];
    return [
      {
        end: stringField(attempt, 'end') ?? '',
        elapsedMs: numberField(attempt, 'elapsedMs') ?? 0,
        isHeld: typeof isHeld === 'boolean' ? isHeld : undefined,
      },
    ];
  });
}
