/** Scenario `configuration`: control processes synchronize a configuration while the store and the network fail. */
import type {SubmitError, SubmitResult} from '@cuminsill/config_sync';
import type {Instance} from '@cuminsill/types';
import type {ManualTime} from '@cuminsill/utils';
import {decodeOrThrow, wholeNumberBetween} from '@cuminsill/validation';
import type {Fiber} from 'effect';
import {Schema} from 'effect';
import {makeDrainChange, SimConfigFleet} from './config_fleet';
import type {Scenario, ScenarioFactory} from './scenario';
import type {TraceEvent, TraceExpectation, TraceHeader} from './trace_file';

const baseEventFields = {atMs: Schema.Number, event: Schema.String};

const SettingsSchema = Schema.Struct({
  instances: wholeNumberBetween(1, 200),
  regions: wholeNumberBetween(1, 21),
});
const ConfirmSchema = Schema.Struct({
  ...baseEventFields,
  id: Schema.String,
  instance: Schema.String,
  plan: Schema.String,
  version: wholeNumberBetween(1, 1_000_000),
});
const StoreOutageSchema = Schema.Struct({...baseEventFields, down: Schema.Boolean});
const RegionCutSchema = Schema.Struct({
  ...baseEventFields,
  region: Schema.String,
  cut: Schema.Boolean,
});
const ReplaceInstanceSchema = Schema.Struct({...baseEventFields, instance: Schema.String});
const CountCallsSchema = Schema.Struct({...baseEventFields, id: Schema.String});
const EventNameSchema = Schema.Struct(
  {
    event: Schema.Literal(
      'confirm',
      'next-answer-lost',
      'store',
      'region',
      'replace',
      'replace-all',
      'count-calls',
    ),
  },
  Schema.Record({key: Schema.String, value: Schema.Unknown}),
);
const ExpectationSchema = Schema.Struct({
  atMs: Schema.Number,
  expect: Schema.Literal(
    'result',
    'results',
    'versions',
    'reverted',
    'adoption-ms',
    'records',
    'ready',
    'peak-calls-per-s',
  ),
  of: Schema.optional(Schema.String),
  value: Schema.Unknown,
});

type EventName = (typeof EventNameSchema.Type)['event'];
type ObservationName = (typeof ExpectationSchema.Type)['expect'];

/** A submitted change and the time of its submission. */
interface Submission {
  readonly atMs: number;
  readonly fiber: Fiber.RuntimeFiber<SubmitResult, SubmitError>;
}

/** Starts a `configuration` or an `outage` scenario. */
export const startConfigurationScenario: ScenarioFactory = (header, time) =>
  new ConfigurationScenario(header, time);

class ConfigurationScenario implements Scenario {
  private readonly fleet: SimConfigFleet;
  private readonly traceStartMs: number;
  private readonly fleetStartMs: number;
  private readonly submissions = new Map<string, Submission>();
  private readonly peakStoreCallsById = new Map<string, number>();
  private activeCountId: string | undefined;

  constructor(
    header: TraceHeader,
    private readonly time: ManualTime,
  ) {
    const settings = decodeOrThrow('configuration settings', SettingsSchema, header.settings);
    this.fleet = new SimConfigFleet({...settings, seed: header.seed ?? 1});
    this.traceStartMs = time.monotonicMs();
    this.fleetStartMs = this.fleet.time.nowMs();
  }

  async apply(event: TraceEvent): Promise<void> {
    const name = decodeOrThrow('configuration event', EventNameSchema, event).event;
    this.advanceFleet();
    this.eventHandlers[name](event);
  }

  async observe(expectation: TraceExpectation): Promise<unknown> {
    const {expect, of} = decodeOrThrow('configuration expectation', ExpectationSchema, expectation);
    this.advanceFleet();
    return this.observers[expect](of ?? '');
  }

  /** Runs the fleet up to the current time of the trace and records the peak of store calls per second. */
  private advanceFleet(): void {
    const endMs = this.time.monotonicMs() - this.traceStartMs + this.fleetStartMs;
    while (this.fleet.time.nowMs() < endMs) {
      const callsBefore = this.storeCallCount();
      this.fleet.time.advance(Math.min(1000, endMs - this.fleet.time.nowMs()));
      if (this.activeCountId === undefined) continue;
      const peak = this.peakStoreCallsById.get(this.activeCountId) ?? 0;
      this.peakStoreCallsById.set(
        this.activeCountId,
        Math.max(peak, this.storeCallCount() - callsBefore),
      );
    }
  }

  private storeCallCount(): number {
    const {reads, writes, watches} = this.fleet.store.callCounts();
    return reads + writes + watches;
  }

  private readonly eventHandlers: Readonly<Record<EventName, (event: TraceEvent) => void>> = {
    confirm: event => {
      const {id, instance, plan, version} = decodeOrThrow('confirm', ConfirmSchema, event);
      const fiber = this.fleet.submit(instance, makeDrainChange(version, plan));
      this.submissions.set(id, {atMs: this.fleet.time.nowMs(), fiber});
    },
    'next-answer-lost': () => {
      let hasFailed = false;
      this.fleet.store.setFaultPlan(kind => {
        if (kind !== 'write' || hasFailed) return 'none';
        hasFailed = true;
        return 'answer-lost-after-write';
      });
    },
    store: event =>
      this.fleet.store.setOutage(decodeOrThrow('store event', StoreOutageSchema, event).down),
    region: event => {
      const {region, cut} = decodeOrThrow('region event', RegionCutSchema, event);
      const isInside = (instance: Instance): boolean => instance.regionId === region;
      this.fleet.isLinkCut = (from, to) => cut && isInside(from) !== isInside(to);
      this.fleet.isStoreUnreachable = instance => cut && isInside(instance);
    },
    replace: event =>
      this.replaceProcesses([
        decodeOrThrow('replace event', ReplaceInstanceSchema, event).instance,
      ]),
    'replace-all': () =>
      this.replaceProcesses(this.fleet.runningNodes().map(({instance}) => instance.id)),
    'count-calls': event => {
      this.activeCountId = decodeOrThrow('count-calls event', CountCallsSchema, event).id;
    },
  };

  private readonly observers: Readonly<Record<ObservationName, (of: string) => unknown>> = {
    result: of => this.resultOf(of),
    results: of =>
      of
        .split(' ')
        .map(id => this.resultOf(id))
        .sort(),
    versions: () => {
      const versions = this.fleet.runningNodes().map(({sync}) => sync.current().version);
      return [...new Set(versions)].sort((a, b) => a - b);
    },
    reverted: () => this.fleet.reverted,
    'adoption-ms': of => this.adoptionMs(of),
    records: () => this.fleet.store.keys().filter(key => key.startsWith('config/log/')).length,
    ready: () => this.fleet.runningNodes().filter(({sync}) => sync.isReady()).length,
    'peak-calls-per-s': of => this.peakStoreCallsById.get(of),
  };

  /** Kills the processes of instances and starts new ones, which have no state, under the same ids. */
  private replaceProcesses(ids: readonly string[]): void {
    const instances = ids.map(id => this.fleet.node(id).instance);
    for (const {id} of instances) this.fleet.kill(id);
    for (const instance of instances) this.fleet.start(instance);
  }

  private resultOf(id: string): string {
    const fiber = this.submissions.get(id)?.fiber;
    return fiber === undefined || fiber.unsafePoll() === null
      ? 'pending'
      : this.fleet.waitForResult(fiber);
  }

  /** Time from the submission until the last instance adopted its version; undefined until all have adopted it. */
  private adoptionMs(id: string): number | undefined {
    const submission = this.submissions.get(id);
    const version = Number(this.resultOf(id).split(' ')[1] ?? NaN);
    if (submission === undefined || Number.isNaN(version)) return undefined;
    const adoptionTimesMs = this.fleet.runningNodes().map(({adoptedAtMs}) => {
      const adoptions = [...adoptedAtMs].filter(([adoptedVersion]) => adoptedVersion >= version);
      return Math.min(...adoptions.map(([, atMs]) => atMs));
    });
    const lastAdoptionMs = Math.max(...adoptionTimesMs);
    return lastAdoptionMs === Infinity ? undefined : lastAdoptionMs - submission.atMs;
  }
}
