/**
 * Forwards one request, with retries and hedges. A failed attempt is retried at another target. An idempotent request
 * is also hedged: when an attempt takes much longer than expected, a second one starts, and the first usable answer
 * wins. An at-most-once request is sent to another target only if no target can have run it.
 */
import {hash32} from '@cuminsill/utils';
import {Effect, Exit, Fiber} from 'effect';
import type {AdmissionRecord} from '../admission';
import {admitRequest} from '../admission';
import {AttemptRecord, relayedOrOutcomeUnknown} from './attempt_record';
import type {FinalAnswer} from '../requests/final_answer';
import {ownAnswer} from '../requests/final_answer';
import type {GatewayParts} from '../gateway_parts';
import {endsWithin} from './hedge_delay';
import type {ForwardedRequest} from './forwarded_request';
import type {Placement} from '../targets/placement';
import type {PlannedHedge} from './hedge_planner';
import {HedgePlanner} from './hedge_planner';
import {classifyResponse} from './judge_response';
import {RequestPlacement} from './request_placement';
import type {Exchange, ExchangeEnd} from './target_exchange';
import {exchangeWithTarget} from './target_exchange';
import {mayRetry} from './retry_rule';
import {defaultRetryAfterMs, usableAgainAfterMs} from './usable_again';
import {headersReplacedForTargets, keyRefusal} from './request_credentials';
import {RelayAttempts} from './relay_attempts';
import type {EndedAttempt} from './record_exchange_end';
import {recordExchangeCancel, recordExchangeEnd} from './record_exchange_end';
import type {ColdSend} from './record_exchange_start';
import {recordExchangeStart} from './record_exchange_start';
import type {Target} from '../targets/target';

/** The final answer, the attempts and the last admission. */
export interface ForwardingResult {
  readonly answer: FinalAnswer;
  readonly record: AttemptRecord;
  readonly admission: AdmissionRecord | undefined;
}

/** Time beyond the round trip within which a target must accept a connection. */
const connectMarginMs = 400;
/** Time beyond the round trip within which a probe of a target usually ends. */
const probeMarginMs = 5;

type RunningAttempt = Fiber.RuntimeFiber<UsableAnswer, AttemptFailed>;

interface AttemptFailed {
  readonly kind: 'try-failed';
}
const attemptFailed: AttemptFailed = {kind: 'try-failed'};

type UsableAnswer = Extract<ExchangeEnd, {kind: 'answered'}> & {
  /** The target, or the gateway that relayed the request. */
  readonly targetId: string;
  /** True for the answer of a relay, which has judged the target's answer already. */
  readonly isFromRelay?: boolean;
};

/** A relay's own refusals are true for this gateway's caller too. */
function finalAnswerOf({answer, targetId, isFromRelay}: UsableAnswer): FinalAnswer {
  if (isFromRelay === true) return {kind: 'relayed', answer, targetId};
  return relayedOrOutcomeUnknown({answer, targetId});
}

/** Forwards the request and returns its final answer. Interruption cancels it at the targets. */
export function forwardRequest(
  parts: GatewayParts,
  forwarded: ForwardedRequest,
): Effect.Effect<ForwardingResult> {
  return Effect.suspend(() => new Forwarding(parts, forwarded).run());
}

class Forwarding {
  private readonly record = new AttemptRecord();
  private lastAdmission: AdmissionRecord | undefined;
  private refusal: FinalAnswer | undefined;
  private readonly relays: RelayAttempts;
  private readonly placements: RequestPlacement;
  private readonly hedges: HedgePlanner;
  /** True if a target was known to have gone down under the same request before this one was sent. */
  private readonly wasSuspected: boolean;

  constructor(
    private readonly parts: GatewayParts,
    private readonly forwarded: ForwardedRequest,
  ) {
    this.wasSuspected = parts.poison.isSuspected(forwarded.fingerprint);
    this.relays = new RelayAttempts(parts, forwarded, this.record);
    this.placements = new RequestPlacement(parts, forwarded, this.record);
    this.hedges = new HedgePlanner(
      parts,
      forwarded,
      this.placements,
      () => this.mayRetry() && keyRefusal(parts, forwarded) === undefined,
    );
  }

  /** Ends without a timeout of its own: each exchange has a deadline, and a retry needs remaining time. */
  run(): Effect.Effect<ForwardingResult> {
    // A relayed request has earned its credit at the gateway that the caller asked.
    if (!this.forwarded.isRelayed) this.parts.retryBudget.recordRequest(this.forwarded.service);
    return this.attemptNext().pipe(
      Effect.map(usable => finalAnswerOf(usable)),
      Effect.catchAll(() => Effect.sync(() => this.failureAnswer())),
      Effect.map(answer => ({answer, record: this.record, admission: this.lastAdmission})),
    );
  }

  private remainingMs(): number {
    return this.forwarded.deadlineMs - this.parts.time.monotonicMs();
  }

  private failureAnswer(): FinalAnswer {
    if (this.record.sentCount === 0 && this.refusal !== undefined) return this.refusal;
    return this.record.failureAnswer(defaultRetryAfterMs);
  }

  /** Chooses a target and sends the request; retries as the route allows. */
  private attemptNext(): Effect.Effect<UsableAnswer, AttemptFailed> {
    return Effect.suspend(() => {
      this.refusal = keyRefusal(this.parts, this.forwarded);
      if (this.refusal !== undefined) return Effect.fail(attemptFailed);
      if (this.parts.paths.isIsolated) return this.relay();
      const placement = this.chooseAdmitted();
      if (placement !== undefined) return this.attemptAt(placement);
      return this.hasUnreachableTargets() ? this.relay() : Effect.fail(attemptFailed);
    });
  }

  /** True if targets might take the request that only this gateway may not reach. */
  private hasUnreachableTargets(): boolean {
    if (this.refusal?.kind !== 'own' || this.refusal.reason !== 'no-usable-target') return false;
    return this.parts.targets
      .ofService(this.forwarded.service)
      .some(({isAssignable, health}) => isAssignable && health.reachability !== 'reachable');
  }

  /** Sends the request through another gateway; tries a second one if the first did not run it. */
  private relay(): Effect.Effect<UsableAnswer, AttemptFailed> {
    return Effect.suspend(() => {
      const isBlocked = this.remainingMs() <= 0 || this.mayCrashNextTarget();
      const relay = isBlocked ? undefined : this.relays.choose();
      if (relay === undefined) {
        this.refusal ??= ownAnswer('no-usable-target', this.usableAgainAfterMs());
        return Effect.fail(attemptFailed);
      }
      const remainingMs = Math.floor(this.remainingMs());
      const answer = this.relays
        .exchange(relay, remainingMs)
        .pipe(
          Effect.flatMap(end =>
            end.kind === 'answered'
              ? Effect.succeed({...end, targetId: relay.name, isFromRelay: true})
              : Effect.fail(attemptFailed),
          ),
        );
      return Effect.catchAll(answer, () => this.relay());
    });
  }

  private attemptAt(placement: Placement): Effect.Effect<UsableAnswer, AttemptFailed> {
    const attempt = this.exchange(placement).pipe(
      Effect.flatMap(end => this.usableOrFail(end, placement)),
    );
    const isIdempotent = this.forwarded.route.repeat === 'idempotent';
    return isIdempotent
      ? this.attemptWithHedge(attempt, placement)
      : Effect.catchAll(attempt, () => this.retry());
  }

  /** Starts a hedge at the first of the hedge times at which there is a target for it; the first usable answer wins. */
  private attemptWithHedge(
    attempt: Effect.Effect<UsableAnswer, AttemptFailed>,
    placement: Placement,
  ): Effect.Effect<UsableAnswer, AttemptFailed> {
    return Effect.flatMap(Effect.fork(attempt), running =>
      Effect.ensuring(
        this.awaitOrHedge(running, this.hedges.plan(placement)),
        // Interrupting a fiber that has ended would cost as much as one that runs.
        Effect.suspend(() =>
          running.unsafePoll() === null ? Fiber.interrupt(running) : Effect.void,
        ),
      ),
    );
  }

  private awaitOrHedge(
    running: RunningAttempt,
    [next, ...later]: readonly PlannedHedge[],
  ): Effect.Effect<UsableAnswer, AttemptFailed> {
    if (next === undefined) return Effect.catchAll(Fiber.join(running), () => this.retry());
    return Effect.flatMap(endsWithin(running, next.delayMs, this.parts.paths), hasEnded => {
      if (hasEnded) return this.awaitOrHedge(running, []);
      if (this.parts.paths.isIsolated) return Effect.race(Fiber.join(running), this.relay());
      const hedge = next.choose();
      if (hedge !== undefined) return Effect.race(Fiber.join(running), this.attemptAt(hedge));
      return this.awaitOrHedge(running, later);
    });
  }

  private retry(): Effect.Effect<UsableAnswer, AttemptFailed> {
    return Effect.suspend(() => {
      if (!this.mayRetry()) {
        return this.record.wasOnlyUnsent ? this.relay() : Effect.fail(attemptFailed);
      }
      return Effect.zipRight(this.awaitProbe(), this.attemptNext());
    });
  }

  /** Waits for the probe of a target that lost the answer but may hold the object, since another target may not hold it. */
  private awaitProbe(): Effect.Effect<void> {
    const {parts, forwarded, record} = this;
    const {lastLostTargetId} = record;
    const target = parts.targets
      .ofService(forwarded.service)
      .find(({id, health}) => id === lastLostTargetId && health.reachability === 'suspect');
    if (target === undefined || !this.holdsObject(target)) return Effect.void;
    const roundTripMs = parts.roundTripTimes.expectedMs(target.failureDomain);
    return Effect.sleep(roundTripMs + probeMarginMs);
  }

  private holdsObject(target: Target): boolean {
    const {objectKey} = this.forwarded.request.head;
    const nowMs = this.parts.time.monotonicMs();
    return objectKey !== undefined && target.recentObjects.has(objectKey, nowMs);
  }

  /** True for a target that has lost the answer, but was reached since and holds the object. */
  private mayAskAgain(target: Target): boolean {
    const wasLost = target.id === this.record.lastLostTargetId;
    return wasLost && target.health.reachability === 'reachable' && this.holdsObject(target);
  }

  /**
   * Returns a usable answer, or fails the attempt. Another target may do better on a server error if it may run
   * again.
   */
  private usableOrFail(
    end: ExchangeEnd,
    {target}: Placement,
  ): Effect.Effect<UsableAnswer, AttemptFailed> {
    if (end.kind !== 'answered') return Effect.fail(attemptFailed);
    const isWorthRetrying =
      this.forwarded.route.repeat === 'idempotent' && end.answer.status >= 500;
    return isWorthRetrying
      ? Effect.fail(attemptFailed)
      : Effect.succeed({...end, targetId: target.id});
  }

  private mayRetry(): boolean {
    const {record, forwarded} = this;
    if (this.remainingMs() <= 0 || this.mayCrashNextTarget()) return false;
    return mayRetry(forwarded.route, record.state);
  }

  /** True if the request is quarantined as soon as a probe shows that the target of its lost attempt is down. */
  private mayCrashNextTarget(): boolean {
    const {lostCount} = this.record;
    if (lostCount === 0) return false;
    const isRepeat = lostCount > 1 || this.wasSuspected;
    return this.parts.poison.wouldQuarantine(this.forwarded.fingerprint, isRepeat);
  }

  /** Chooses a target for a first attempt or a retry; without one, keeps the refusal and returns undefined. */
  private chooseAdmitted(): Placement | undefined {
    const placement = this.placements.choose(target => this.mayAskAgain(target));
    if (placement === undefined) {
      this.refusal = ownAnswer('no-usable-target', this.usableAgainAfterMs());
      return undefined;
    }
    const {request, route} = this.forwarded;
    const remainingMs = this.remainingMs();
    const minExpectedMs = this.minExpectedMs(placement);
    const elapsedMs = this.parts.time.monotonicMs() - request.arrivedAtMs;
    const latencyBudgetMs = route.targetLatencyMs - elapsedMs;
    const {expectedMs, waitMs} = placement;
    const {priority} = route;
    const times = {expectedMs, minExpectedMs, waitMs, remainingMs, latencyBudgetMs};
    const input = {...times, priority, jitter: this.jitter()};
    const isRetry = this.record.sentCount > 0;
    this.lastAdmission = admitRequest(this.parts, this.forwarded, input, isRetry);
    const {admission} = this.lastAdmission;
    if (admission.kind === 'refuse') {
      this.refusal = ownAnswer('overloaded', admission.retryAfterMs);
      return undefined;
    }
    if (isRetry && !this.parts.retryBudget.tryTake(this.forwarded.service)) {
      return undefined;
    }
    return placement;
  }

  /**
   * Shortest time in which the placement may give an answer. It is the expected time at slow targets, whose free slots may
   * not be free, and for retries, which are limited in number. For a few requests that no answer was quick enough for, only
   * the round trip counts, so that the gateway learns whether the service has become faster.
   */
  private minExpectedMs({target, expectedMs, waitMs}: Placement): number {
    const {serviceTimes, roundTripTimes, time} = this.parts;
    if (this.record.sentCount > 0 || target.health.isSlow(time.monotonicMs())) return expectedMs;
    const roundTripMs = roundTripTimes.expectedMs(target.failureDomain);
    const estimator = serviceTimes.of(this.forwarded.service);
    const minMs = roundTripMs + estimator.minMs();
    const isTrial =
      waitMs === 0 &&
      minMs > this.remainingMs() &&
      roundTripMs <= this.remainingMs() &&
      estimator.takeTrial(time.monotonicMs());
    return isTrial ? roundTripMs : minMs;
  }

  private usableAgainAfterMs(): number {
    const {targets, time} = this.parts;
    const ofService = targets.ofService(this.forwarded.service);
    return usableAgainAfterMs(ofService, time.monotonicMs(), this.jitter());
  }

  /** A number from 0 to 1 that differs between requests. */
  private jitter(): number {
    return hash32(this.forwarded.request.requestId) / 2 ** 32;
  }

  private exchange(placement: Placement): Effect.Effect<ExchangeEnd> {
    const {parts, forwarded, record} = this;
    const {target} = placement;
    return Effect.suspend(() => {
      const startedAtMs = parts.time.monotonicMs();
      const {fingerprint} = forwarded;
      const {incarnationId} = target;
      const isRepeat = record.lostCount > 0 || parts.poison.isSuspected(fingerprint);
      const knownEndCount = parts.poison.endedProcessCount(fingerprint, incarnationId);
      const attempt = {placement, incarnationId, isRepeat, knownEndCount};
      record.recordStart(target.id);
      const coldSend = recordExchangeStart(parts, target);
      const elapsedMs = () => parts.time.monotonicMs() - startedAtMs;
      return Effect.suspend(() => exchangeWithTarget(this.exchangeParameters(target))).pipe(
        Effect.tap(end =>
          Effect.sync(() => this.recordEnd({...attempt, end, elapsedMs: elapsedMs()}, coldSend)),
        ),
        Effect.onExit(exit => {
          // In each case, an exception included: a request counted for good would make the target seem full.
          target.load.recordEnd();
          if (Exit.isFailure(exit)) record.recordCancel(target.id, elapsedMs(), {coldSend});
          return Effect.void;
        }),
        Effect.onInterrupt(() =>
          Effect.sync(() => recordExchangeCancel(parts, placement, startedAtMs)),
        ),
      );
    });
  }

  private exchangeParameters(target: Target): Exchange {
    const {parts, forwarded} = this;
    const {failureDomain} = target;
    const remainingMs = Math.floor(this.remainingMs());
    return {
      request: forwarded.request,
      receiver: target,
      addedHeaders: parts.requestWire.targetHeaders({
        targetId: target.id,
        remainingMs,
        workspace: forwarded.workspace?.name,
      }),
      replacedHeaders: headersReplacedForTargets(parts),
      classify: response => classifyResponse(response, forwarded.request, parts.requestWire),
      connections: parts.connections,
      memory: parts.bodyMemory,
      time: parts.time,
      remainingMs,
      connectTimeoutMs: parts.roundTripTimes.expectedMs(failureDomain) + connectMarginMs,
      isAtMostOnce: forwarded.route.repeat === 'at-most-once',
      onConnected: (socket, connectMs) => {
        parts.paths.recordSuccess();
        parts.roundTripTimes.observe(failureDomain, connectMs);
        parts.connectionHistory.onOpened(target.id, socket);
      },
    };
  }

  private recordEnd(attempt: EndedAttempt, coldSend: ColdSend | undefined): void {
    const {parts, forwarded, record} = this;
    const {placement, end, elapsedMs} = attempt;
    recordExchangeEnd(parts, forwarded, attempt);
    const isHeld = forwarded.request.head.objectKey === undefined ? undefined : placement.isHeld;
    record.recordEnd(placement.target.id, end, elapsedMs, {isHeld, coldSend});
  }
}
