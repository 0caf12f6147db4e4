/**
 * Probes the targets that this entry is responsible for. A target that says it is leaving, or fails probes, is told to the
 * other instances; what it reports of its load only lowers trust in it.
 */
import * as http from 'node:http';
import type {SteeringDecisions} from '@cuminsill/steering';
import type {Target, TargetHealth, TargetReport} from '@cuminsill/types';
import type {TimeSource} from '@cuminsill/utils';
import {Duration, Effect} from 'effect';

/** What probing works with. */
export interface TargetProberParts {
  readonly steering: SteeringDecisions;
  readonly time: TimeSource;
  readonly intervalMs: number;
  /** Called when the health of a target changed. */
  readonly onChange: (report: TargetReport) => void;
}

interface ProbeAnswer {
  readonly status: number;
  readonly body: unknown;
}

const probeTimeoutMs = 1000;
const maxProbeBodyBytes = 4096;
/** Failed probes in a row after which a target counts as failing. */
const failuresUntilFailing = 2;

/** Probes targets and collects what it learns. */
export class TargetProber {
  private readonly agent = new http.Agent({keepAlive: true, maxSockets: 256});
  private readonly failures = new Map<string, number>();
  private readonly lastHealth = new Map<string, TargetHealth>();
  private collected: TargetReport[] = [];

  constructor(private readonly parts: TargetProberParts) {}

  /** Probes all assigned targets once per interval, spread over it, until interrupted. */
  run(): Effect.Effect<never> {
    const {steering, intervalMs} = this.parts;
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

  /** Observations since the last call. */
  takeReports(): readonly TargetReport[] {
    const reports = this.collected;
    this.collected = [];
    return reports;
  }

  /** Closes connections. */
  close(): void {
    this.agent.destroy();
  }

  private probe(target: Target): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const health = yield* this.get(target, '/health');
      const load = health === undefined ? undefined : yield* this.get(target, '/load');
      this.note(target, this.judge(target, health), inFlightOf(load));
    });
  }

  private judge(target: Target, health: ProbeAnswer | undefined): TargetHealth {
    if (stateOf(health) === 'leaving') return 'leaving';
    if (health?.status === 200) {
      this.failures.delete(target.id);
      return 'healthy';
    }
    const failures = (this.failures.get(target.id) ?? 0) + 1;
    this.failures.set(target.id, failures);
    return failures >= failuresUntilFailing ? 'failing' : 'healthy';
  }

  private note(target: Target, health: TargetHealth, reportedInFlight: number): void {
    const report: TargetReport = {
      targetId: target.id,
      health,
      reportedInFlight,
      observedAtMs: Math.floor(this.parts.time.nowMs()),
    };
    this.collected.push(report);
    this.parts.steering.updateReports([report]);
    if (this.lastHealth.get(target.id) === health) return;
    this.lastHealth.set(target.id, health);
    this.parts.onChange(report);
  }

  private get(target: Target, path: string): Effect.Effect<ProbeAnswer | undefined> {
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

function stateOf(answer: ProbeAnswer | undefined): unknown {
  const body = answer?.body;
  return typeof body === 'object' && body !== null && 'state' in body ? body.state : undefined;
}

function inFlightOf(answer: ProbeAnswer | undefined): number {
  const body = answer?.body;
  const inFlight =
    typeof body === 'object' && body !== null && 'inFlight' in body ? body.inFlight : undefined;
  return typeof inFlight === 'number' && inFlight >= 0 ? Math.floor(inFlight) : 0;
}
