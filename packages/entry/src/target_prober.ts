/**
 * Health checks of the targets that are assigned to this entry. Other instances are told when a target is leaving or
 * fails its checks; the load that a target reports can only lower the trust in it.
 */
import * as http from 'node:http';
import type {SteeringDecisions} from '@cuminsill/steering';
import type {Target, TargetHealth, TargetReport} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';

/** Dependencies of the target prober. */
export interface TargetProberDependencies {
  readonly steering: SteeringDecisions;
  readonly time: TimeSource;
  readonly intervalMs: number;
  /** Called when the health of a target changes. */
  readonly onHealthChange: (report: TargetReport) => void;
}

interface ProbeResponse {
  readonly status: number;
  readonly body: unknown;
}

const probeTimeoutMs = 1000;
const maxProbeBodyBytes = 4096;
/** Consecutive failed probes after which a target counts as failing. */
const minConsecutiveFailures = 2;

/** Probes targets and collects reports of their health and load. */
export class TargetProber {
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 256});
  private readonly consecutiveFailures = new Map<string, number>();
  private readonly lastHealthByTarget = new Map<string, TargetHealth>();
  private pendingReports: TargetReport[] = [];

  constructor(private readonly deps: TargetProberDependencies) {}

  /** Probes every assigned target once per interval, evenly spaced, until interrupted. */
  run(): Effect.Effect<never> {
    const {steering, intervalMs} = this.deps;
    return Effect.gen(this, function* () {
      const targets = steering.targetsToProbe();
      const pauseMs = intervalMs / Math.max(1, targets.length);
      for (const target of targets) {
        yield* Effect.fork(this.probe(target));
        yield* Effect.sleep(Duration.millis(pauseMs));
      }
      if (targets.length === 0) yield* Effect.sleep(Duration.millis(intervalMs));
    }).pipe(Effect.forever);
  }

  /** Returns the reports collected since the last call. */
  takeReports(): readonly TargetReport[] {
    const reports = this.pendingReports;
    this.pendingReports = [];
    return reports;
  }

  /** Closes the connections to targets. */
  close(): void {
    this.agent.destroy();
  }

  private probe(target: Target): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const health = yield* this.probePath(target, '/health');
      const load = health === undefined ? undefined : yield* this.probePath(target, '/load');
      this.recordObservation(target, this.evaluateHealth(target, health), inFlightOf(load));
    });
  }

  private evaluateHealth(target: Target, health: ProbeResponse | undefined): TargetHealth {
    if (stateOf(health) === 'leaving') return 'leaving';
    if (health?.status === 200) {
      this.consecutiveFailures.delete(target.id);
      return 'healthy';
    }
    const consecutiveFailures = (this.consecutiveFailures.get(target.id) ?? 0) + 1;
    this.consecutiveFailures.set(target.id, consecutiveFailures);
    return consecutiveFailures >= minConsecutiveFailures ? 'failing' : 'healthy';
  }

  private recordObservation(target: Target, health: TargetHealth, reportedInFlight: number): void {
    const report: TargetReport = {
      targetId: target.id,
      health,
      reportedInFlight,
      observedAtMs: Math.floor(this.deps.time.nowMs()),
    };
    this.pendingReports.push(report);
    this.deps.steering.updateReports([report]);
    if (this.lastHealthByTarget.get(target.id) === health) return;
    this.lastHealthByTarget.set(target.id, health);
    this.deps.onHealthChange(report);
  }

  private probePath(target: Target, path: string): Effect.Effect<ProbeResponse | undefined> {
    return Effect.async(resume => {
      const request = http.get({
        host: target.address.host,
        port: target.address.port,
        path,
        agent: this.agent,
        timeout: probeTimeoutMs,
      });
      const fail = () => resume(Effect.succeed(undefined));
      request.on('timeout', () => request.destroy());
      request.on('error', fail);
      request.on('response', response => {
        const chunks: Buffer[] = [];
        let length = 0;
        response.on('data', (chunk: Buffer) => {
          length += chunk.length;
          if (length > maxProbeBodyBytes) response.destroy();
          else chunks.push(chunk);
        });
        response.on('end', () =>
          resume(
            Effect.succeed({
              status: response.statusCode ?? 0,
              body: parseJson(Buffer.concat(chunks).toString('utf8')),
            }),
          ),
        );
        response.on('error', fail);
      });
      return Effect.sync(() => request.destroy());
    });
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function stateOf(response: ProbeResponse | undefined): unknown {
  const body = response?.body;
  return typeof body === 'object' && body !== null && 'state' in body ? body.state : undefined;
}

function inFlightOf(response: ProbeResponse | undefined): number {
  const body = response?.body;
  const inFlight =
    typeof body === 'object' && body !== null && 'inFlight' in body ? body.inFlight : undefined;
  return typeof inFlight === 'number' && inFlight >= 0 ? Math.floor(inFlight) : 0;
}
