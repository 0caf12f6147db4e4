/**
 * Probes whether a suspect or unreachable target is alive by opening and closing a TCP connection. This costs the
 * target almost nothing, whereas a health check takes a slot. The first connection to each failure domain also
 * measures its round-trip time before requests depend on it.
 */
import type {GatewayParts} from '../gateway_parts';
import {PathChecker} from './path_checker';
import type {Target} from './target';

/** Interval of checks for due probes. */
export const dueProbeCheckIntervalMs = 100;
/** A target that accepts no connection within this time beyond the round trip is unreachable. */
const probeMarginMs = 400;

/** Time after which a failed round-trip measurement is repeated. */
const measurementRetryMs = 1_000;

/** Probes targets that are not reachable. */
export class TargetProber {
  private timer: NodeJS.Timeout | undefined;
  private readonly measurementStartedAtMs = new Map<string, number>();
  private readonly pathChecker: PathChecker;
  /** Targets whose probes failed while it was open whether this gateway has lost its own connectivity to the targets. */
  private readonly unconfirmedEnds = new Set<string>();

  constructor(private readonly parts: GatewayParts) {
    this.pathChecker = new PathChecker(parts);
    parts.suspects.onSuspect(target => this.startDueProbe(target));
    parts.paths.onChange(state => {
      if (state === 'connected') this.confirmEnds();
      if (state === 'isolated') this.unconfirmedEnds.clear();
    });
  }

  /** Starts to probe. */
  start(): void {
    this.timer = setInterval(() => this.startDueProbes(), dueProbeCheckIntervalMs);
  }

  /** Starts no further probes; running ones end by themselves. */
  close(): void {
    clearInterval(this.timer);
  }

  /** Starts the probes that are due, and reviews the lost connections. */
  startDueProbes(): void {
    const {paths, pendingLosses} = this.parts;
    this.pathChecker.startDueCheck();
    pendingLosses.review(paths.state === 'connected');
    // Until the checker reaches a target again, probes of all targets would tell nothing of them.
    if (paths.isIsolated) return;
    for (const target of this.parts.targets.all()) {
      if (!target.isAssignable) continue;
      if (!this.startDueProbe(target)) {
        this.measureRoundTrip(target, this.parts.time.monotonicMs());
      }
    }
  }

  /** Returns whether a probe of the target was due. */
  private startDueProbe(target: Target): boolean {
    const nowMs = this.parts.time.monotonicMs();
    if (this.parts.paths.isIsolated || !target.health.isProbeDue(nowMs)) return false;
    target.health.onProbeStart(nowMs);
    this.probe(target);
    return true;
  }

  private measureRoundTrip({failureDomain, address}: Target, nowMs: number): void {
    const {roundTripTimes} = this.parts;
    const measuredAtMs = this.measurementStartedAtMs.get(failureDomain);
    if (roundTripTimes.isMeasured(failureDomain)) return;
    if (measuredAtMs !== undefined && nowMs - measuredAtMs < measurementRetryMs) return;
    this.measurementStartedAtMs.set(failureDomain, nowMs);
    const socket = this.parts.dial({host: address.host, port: address.port});
    socket.once('error', () => socket.destroy());
    socket.once('connect', () => {
      socket.destroy();
      roundTripTimes.observe(failureDomain, this.parts.time.monotonicMs() - nowMs);
    });
  }

  private probe(target: Target): void {
    const {host, port} = target.address;
    const startedAtMs = this.parts.time.monotonicMs();
    const socket = this.parts.dial({host, port});
    const timeoutMs = probeMarginMs + this.parts.roundTripTimes.expectedMs(target.failureDomain);
    const timer = setTimeout(() => fail('connect timeout'), timeoutMs);
    const fail = (detail: string) => {
      clearTimeout(timer);
      socket.destroy();
      this.onProbeFailed(target, detail);
    };
    socket.once('error', error => fail(error.message));
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.destroy();
      const connectMs = this.parts.time.monotonicMs() - startedAtMs;
      this.parts.roundTripTimes.observe(target.failureDomain, connectMs);
      this.onProbeConnected(target);
    });
  }

  private onProbeFailed(target: Target, detail: string): void {
    const {time, paths, log} = this.parts;
    const wasSuspect = target.health.reachability === 'suspect';
    target.health.onConnectFailure(time.monotonicMs());
    paths.recordFailure(target.id);
    this.unconfirmedEnds.add(target.id);
    if (paths.state === 'connected') this.confirmEnds();
    if (wasSuspect) log.targetReachability(target.id, 'unreachable', detail);
  }

  /** Confirms the losses at targets that were down while this gateway reached others. */
  private confirmEnds(): void {
    for (const id of this.unconfirmedEnds) this.parts.pendingLosses.onProcessEnded(id);
    this.unconfirmedEnds.clear();
  }

  private onProbeConnected(target: Target): void {
    const {paths} = this.parts;
    paths.recordSuccess();
    const mayHaveRestarted = !paths.explains(target.health.unreachableSinceMs);
    if (!target.health.onProbeConnected() || !mayHaveRestarted) return;
    const nowMs = this.parts.time.monotonicMs();
    const {configuration} = this.parts;
    const rule = configuration.routes?.configuration.services.get(target.service);
    // The target may have restarted, while its record does not show this yet.
    target.markCold(rule?.coldStartMs ?? 0, nowMs);
    target.recentObjects.clear();
    this.parts.log.targetReachability(target.id, 'reachable', 'probe connected');
  }
}
