/**
 * Forwards one request. Each try starts when the one before it failed; for idempotent requests also when it takes much
 * longer than expected, and then the first good answer wins. A request that may run only once goes to another target only
 * while every former one provably did not run it.
 */
import {hash32} from '@cuminsill/utils';
import {Effect, Fiber} from 'effect';
import {admit} from './admission';
import {AttemptRecord, relayedOrUnknown} from './attempt_record';
import type {CallerRequest} from './caller_request';
import type {FinalAnswer} from './final_answer';
import {ownAnswer} from './final_answer';
import type {GatewayParts} from './gateway_parts';
import type {RouteRule} from './gateway_types';
import type {Placement} from './placement';
import {placeRequest} from './placement';
import type {ExchangeEnd} from './target_exchange';
import {exchangeWithTarget} from './target_exchange';
import {learnFromCancel, learnFromEnd} from './target_learning';

/** What is forwarded. */
export interface ForwardedRequest {
  readonly request: CallerRequest;
  readonly route: RouteRule;
  readonly service: string;
  /** Identifies a request that is sent again, for the search for requests that take targets down. */
  readonly fingerprint: string;
  /** Until when the request may take, on the steady clock. */
  readonly untilMs: number;
}

/** The answer and how it came about. */
export interface ForwardingResult {
  readonly answer: FinalAnswer;
  readonly record: AttemptRecord;
  readonly placement: Placement | undefined;
}

/**
 * A try takes much longer than expected after this multiple of the time for an object that the target does not know. The
 * time for a known object is no measure: a target forgets objects, and its answer is then late but on its way.
 */
const patienceFactor = 3;
const leastPatienceMs = 300;
/** A target in another place may need this long beyond the round trip to accept a connection. */
const connectSlackMs = 400;
/** Time in which an overloaded service is worth another try, when nothing better is known. */
const defaultRetryAfterMs = 250;

interface TryFailed {
  readonly kind: 'try-failed';
}
const tryFailed: TryFailed = {kind: 'try-failed'};

type GoodAnswer = Extract<ExchangeEnd, {kind: 'answered'}> & {readonly targetId: string};

/** Forwards the request and gives its final answer. Interruption cancels it at the targets. */
export function forwardRequest(
  parts: GatewayParts,
  forwarded: ForwardedRequest,
): Effect.Effect<ForwardingResult> {
  return Effect.suspend(() => new Forwarding(parts, forwarded).run());
}

class Forwarding {
  private readonly record = new AttemptRecord();
  private lastPlacement: Placement | undefined;
  private refusal: FinalAnswer | undefined;

  constructor(
    private readonly parts: GatewayParts,
    private readonly forwarded: ForwardedRequest,
  ) {}

  /** Every wait ends by itself: an exchange has its own deadline, and a further try needs time that is left. */
  run(): Effect.Effect<ForwardingResult> {
    this.parts.retries.countRequest(this.forwarded.service);
    return this.tryNext().pipe(
      Effect.map(relayedOrUnknown),
      Effect.catchAll(() => Effect.sync(() => this.failure())),
      Effect.map(answer => ({answer, record: this.record, placement: this.lastPlacement})),
    );
  }

  private remainingMs(): number {
    return this.forwarded.untilMs - this.parts.time.monotonicMs();
  }

  private failure(): FinalAnswer {
    if (this.record.sentCount === 0 && this.refusal !== undefined) return this.refusal;
    return this.record.failure(defaultRetryAfterMs);
  }

  /** Chooses a target and sends the request, and tries again as the route allows. */
  private tryNext(): Effect.Effect<GoodAnswer, TryFailed> {
    return Effect.suspend(() => {
      const placement = this.chooseAdmitted();
      return placement === undefined ? Effect.fail(tryFailed) : this.tryAt(placement);
    });
  }

  private tryAt(placement: Placement): Effect.Effect<GoodAnswer, TryFailed> {
    const own = this.exchange(placement).pipe(
      Effect.flatMap(end => this.goodOrFail(end, placement)),
    );
    const isIdempotent = this.forwarded.route.repeat === 'idempotent';
    return isIdempotent
      ? this.tryWithHedge(own, placement)
      : Effect.catchAll(own, () => this.tryFurther());
  }

  /** Starts another try alongside this one when it takes much longer than expected; the first good answer wins. */
  private tryWithHedge(
    own: Effect.Effect<GoodAnswer, TryFailed>,
    placement: Placement,
  ): Effect.Effect<GoodAnswer, TryFailed> {
    return Effect.gen(this, function* () {
      const running = yield* Effect.fork(own);
      const outcome = endOrPatience(running, this.patienceMs(placement)).pipe(
        Effect.flatMap(hasEnded => this.afterPatience(running, hasEnded)),
      );
      return yield* Effect.ensuring(outcome, Fiber.interrupt(running));
    });
  }

  private afterPatience(
    running: Fiber.RuntimeFiber<GoodAnswer, TryFailed>,
    hasEnded: boolean,
  ): Effect.Effect<GoodAnswer, TryFailed> {
    const hedge = hasEnded ? undefined : this.chooseHedge();
    if (hedge !== undefined) return Effect.race(Fiber.join(running), this.tryAt(hedge));
    return Effect.catchAll(Fiber.join(running), () => this.tryFurther());
  }

  private tryFurther(): Effect.Effect<GoodAnswer, TryFailed> {
    return Effect.suspend(() => (this.mayRepeat() ? this.tryNext() : Effect.fail(tryFailed)));
  }

  private patienceMs(placement: Placement): number {
    const {service} = this.forwarded;
    const slowestMs = this.parts.timings.of(service).workMs(false) + placement.waitMs;
    const travelMs = this.parts.latency.roundTripMs(placement.target.failureDomain);
    return Math.max(leastPatienceMs, patienceFactor * slowestMs + travelMs);
  }

  /** An answer of use to the caller, or the failure of this try. */
  private goodOrFail(end: ExchangeEnd, {target}: Placement): Effect.Effect<GoodAnswer, TryFailed> {
    if (end.kind !== 'answered') return Effect.fail(tryFailed);
    const mayDoBetter = this.forwarded.route.repeat === 'idempotent' && end.answer.status >= 500;
    return mayDoBetter ? Effect.fail(tryFailed) : Effect.succeed({...end, targetId: target.id});
  }

  private mayRepeat(): boolean {
    const {repeat, maxTargets} = this.forwarded.route;
    if (repeat === 'at-most-once' && this.record.mayBeRunning) return false;
    return this.record.mayTryAnother(maxTargets) && this.remainingMs() > 0;
  }

  /** A target for a first or repeated try; undefined with the reason noted when there is none. */
  private chooseAdmitted(): Placement | undefined {
    const placement = this.choose();
    if (placement === undefined) {
      this.refusal = ownAnswer('no-usable-target', defaultRetryAfterMs);
      return undefined;
    }
    const {request, route} = this.forwarded;
    const remainingMs = this.remainingMs();
    const spentMs = this.parts.time.monotonicMs() - request.arrivedAtMs;
    const usefulMs = route.targetLatencyMs - spentMs;
    const {expectedMs, waitMs} = placement;
    const spread = hash32(request.requestId) / 2 ** 32;
    const {priority} = route;
    const admission = admit({expectedMs, waitMs, remainingMs, usefulMs, priority, spread});
    if (admission.kind === 'refuse') {
      this.refusal = ownAnswer('overloaded', admission.retryAfterMs);
      return undefined;
    }
    if (this.record.sentCount > 0 && !this.parts.retries.tryTake(this.forwarded.service)) {
      return undefined;
    }
    return placement;
  }

  private chooseHedge(): Placement | undefined {
    if (!this.mayRepeat()) return undefined;
    const placement = this.choose();
    if (placement === undefined || placement.expectedMs > this.remainingMs()) return undefined;
    // A second copy that has to wait takes room from requests that have none yet.
    if (placement.waitMs > 0) return undefined;
    return this.parts.retries.tryTake(this.forwarded.service) ? placement : undefined;
  }

  private choose(): Placement | undefined {
    const {parts, forwarded} = this;
    const {peers, evacuations, timings, latency} = parts;
    const settings = parts.settings.value;
    const rule = parts.configuration.routes?.configuration.services.get(forwarded.service);
    const coldRate = (rule?.coldRequestsPerS ?? 1) * settings.bounds.coldOvershoot;
    return placeRequest(
      {
        objectKey: forwarded.request.head.objectKey,
        homeRegions: forwarded.route.homeRegions,
        bodyBytes: forwarded.request.body.length,
        triedIds: this.record.triedIds,
      },
      parts.targets.ofService(forwarded.service),
      {
        nowMs: parts.time.monotonicMs(),
        ownName: settings.name,
        ownRegion: settings.region,
        ownDemandShare: peers.ownRegionShare(),
        gatewayNames: peers.namesInUse(),
        evacuatedDomains: evacuations.evacuatedDomains,
        coldLimit: {requestsPerS: coldRate + settings.bounds.coldSlack},
        timing: timings.of(forwarded.service),
        latency,
      },
    );
  }

  private exchange(placement: Placement): Effect.Effect<ExchangeEnd> {
    const {parts, forwarded, record} = this;
    const {target} = placement;
    return Effect.suspend(() => {
      const startedAtMs = parts.time.monotonicMs();
      this.lastPlacement = placement;
      record.started(target.id);
      target.load.started();
      if (target.isCold(startedAtMs)) target.coldGate.sent(startedAtMs);
      const elapsedMs = () => parts.time.monotonicMs() - startedAtMs;
      return exchangeWithTarget({
        request: forwarded.request,
        target,
        wire: parts.wire,
        connections: parts.connections,
        time: parts.time,
        remainingMs: Math.floor(this.remainingMs()),
        connectTimeoutMs: parts.latency.roundTripMs(target.failureDomain) + connectSlackMs,
        atMostOnce: forwarded.route.repeat === 'at-most-once',
        onConnected: connectMs => parts.latency.observe(target.failureDomain, connectMs),
      }).pipe(
        Effect.tap(end => Effect.sync(() => this.learn(placement, end, elapsedMs()))),
        Effect.onInterrupt(() =>
          Effect.sync(() => {
            target.load.ended();
            record.cancelled(target.id, elapsedMs());
            learnFromCancel(parts, placement, elapsedMs());
          }),
        ),
      );
    });
  }

  private learn(placement: Placement, end: ExchangeEnd, elapsedMs: number): void {
    const {parts, forwarded, record} = this;
    learnFromEnd(parts, forwarded, placement, end, elapsedMs);
    placement.target.load.ended();
    record.ended(placement.target.id, end, elapsedMs);
  }
}

/**
 * Waits until the fiber has ended, at most the given time; tells whether it has. One timer and no further fibers, because
 * every idempotent request waits here.
 */
function endOrPatience(
  running: Fiber.RuntimeFiber<unknown, unknown>,
  patienceMs: number,
): Effect.Effect<boolean> {
  return Effect.async<boolean>(resume => {
    const ended = () => {
      clearTimeout(timer);
      resume(Effect.succeed(true));
    };
    const timer = setTimeout(() => {
      running.removeObserver(ended);
      resume(Effect.succeed(false));
    }, patienceMs);
    running.addObserver(ended);
    return Effect.sync(() => {
      clearTimeout(timer);
      running.removeObserver(ended);
    });
  });
}
