/** Scenario `configuration`: control processes keep one configuration over a store and a network that fail. */
import type {SubmitError, SubmitResult} from '@cuminsill/config_sync';
import type {Instance} from '@cuminsill/types';
import type {ManualTime} from '@cuminsill/utils';
import {decodeOrThrow, wholeNumberBetween} from '@cuminsill/validation';
import type {Fiber} from 'effect';
import {Schema} from 'effect';
import {intentChange, SimConfigFleet} from './config_fleet';
import type {Scenario, ScenarioKind} from './scenario';
import type {TraceEvent, TraceExpectation, TraceHeader} from './trace_file';

const event = {atMs: Schema.Number, event: Schema.String};

const SettingsSchema = Schema.Struct({
  instances: wholeNumberBetween(1, 200),
  regions: wholeNumberBetween(1, 21),
});
const ConfirmSchema = Schema.Struct({
  ...event,
  id: Schema.String,
  instance: Schema.String,
  plan: Schema.String,
  version: wholeNumberBetween(1, 1_000_000),
});
const StoreSchema = Schema.Struct({...event, down: Schema.Boolean});
const CutSchema = Schema.Struct({...event, region: Schema.String, cut: Schema.Boolean});
const ReplaceSchema = Schema.Struct({...event, instance: Schema.String});
const CountSchema = Schema.Struct({...event, id: Schema.String});
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
type FigureName = (typeof ExpectationSchema.Type)['expect'];

interface Confirm {
  readonly atMs: number;
  readonly fiber: Fiber.RuntimeFiber<SubmitResult, SubmitError>;
}

/** Starts a `configuration` or an `outage` scenario. */
export const startConfigurationScenario: ScenarioKind = (header, time) =>
  new ConfigurationScenario(header, time);

class ConfigurationScenario implements Scenario {
  private readonly fleet: SimConfigFleet;
  private readonly startMs: number;
  private readonly fleetStartMs: number;
  private readonly confirms = new Map<string, Confirm>();
  private readonly peakCalls = new Map<string, number>();
  private counting: string | undefined;

  constructor(
    header: TraceHeader,
    private readonly time: ManualTime,
  ) {
    const settings = decodeOrThrow('configuration settings', SettingsSchema, header.settings);
    this.fleet = new SimConfigFleet({...settings, seed: header.seed ?? 1});
    this.startMs = time.monotonicMs();
    this.fleetStartMs = this.fleet.time.nowMs();
  }

  async apply(event: TraceEvent): Promise<void> {
    const name = decodeOrThrow('configuration event', EventNameSchema, event).event;
    this.advance();
    this.handlers[name](event);
  }

  async observe(expectation: TraceExpectation): Promise<unknown> {
    const {expect, of} = decodeOrThrow('configuration expectation', ExpectationSchema, expectation);
    this.advance();
    return this.figures[expect](of ?? '');
  }

  /** Lets the fleet run up to the time of the trace, and counts store calls by the second. */
  private advance(): void {
    const endMs = this.time.monotonicMs() - this.startMs + this.fleetStartMs;
    while (this.fleet.time.nowMs() < endMs) {
      const before = this.calls();
      this.fleet.time.advance(Math.min(1000, endMs - this.fleet.time.nowMs()));
      if (this.counting === undefined) continue;
      const peak = this.peakCalls.get(this.counting) ?? 0;
      this.peakCalls.set(this.counting, Math.max(peak, this.calls() - before));
    }
  }

  private calls(): number {
    const {reads, writes, watches} = this.fleet.store.callCounts();
    return reads + writes + watches;
  }

  private readonly handlers: Readonly<Record<EventName, (event: TraceEvent) => void>> = {
    confirm: event => {
      const {id, instance, plan, version} = decodeOrThrow('confirm', ConfirmSchema, event);
      const fiber = this.fleet.submit(instance, intentChange(version, plan));
      this.confirms.set(id, {atMs: this.fleet.time.nowMs(), fiber});
    },
    'next-answer-lost': () => {
      let used = false;
      this.fleet.store.setFaultPlan(kind => {
        if (kind !== 'write' || used) return 'none';
        used = true;
        return 'answer-lost-after-write';
      });
    },
    store: event =>
      this.fleet.store.setOutage(decodeOrThrow('store event', StoreSchema, event).down),
    region: event => {
      const {region, cut} = decodeOrThrow('region event', CutSchema, event);
      const isInside = (instance: Instance): boolean => instance.regionId === region;
      this.fleet.isCut = (from, to) => cut && isInside(from) !== isInside(to);
      this.fleet.isStoreCut = instance => cut && isInside(instance);
    },
    replace: event => this.replace([decodeOrThrow('replace event', ReplaceSchema, event).instance]),
    'replace-all': () => this.replace(this.fleet.alive().map(({instance}) => instance.id)),
    'count-calls': event => {
      this.counting = decodeOrThrow('count-calls event', CountSchema, event).id;
    },
  };

  private readonly figures: Readonly<Record<FigureName, (of: string) => unknown>> = {
    result: of => this.resultOf(of),
    results: of =>
      of
        .split(' ')
        .map(id => this.resultOf(id))
        .sort(),
    versions: () => {
      const versions = this.fleet.alive().map(({sync}) => sync.current().version);
      return [...new Set(versions)].sort((a, b) => a - b);
    },
    reverted: () => this.fleet.reverted,
    'adoption-ms': of => this.adoptionMs(of),
    records: () => this.fleet.store.keys().filter(key => key.startsWith('config/log/')).length,
    ready: () => this.fleet.alive().filter(({sync}) => sync.isReady()).length,
    'peak-calls-per-s': of => this.peakCalls.get(of),
  };

  /** Stops processes and starts new ones without state under the same ids. */
  private replace(ids: readonly string[]): void {
    const instances = ids.map(id => this.fleet.node(id).instance);
    for (const {id} of instances) this.fleet.kill(id);
    for (const instance of instances) this.fleet.start(instance);
  }

  private resultOf(id: string): string {
    const fiber = this.confirms.get(id)?.fiber;
    return fiber === undefined || fiber.unsafePoll() === null
      ? 'pending'
      : this.fleet.result(fiber);
  }

  /** Time from the confirm to the adoption at the last instance; undefined while one is behind. */
  private adoptionMs(id: string): number | undefined {
    const confirm = this.confirms.get(id);
    const version = Number(this.resultOf(id).split(' ')[1] ?? NaN);
    if (confirm === undefined || Number.isNaN(version)) return undefined;
    const times = this.fleet.alive().map(({adoptedAtMs}) => {
      const adopted = [...adoptedAtMs].filter(([adoptedVersion]) => adoptedVersion >= version);
      return Math.min(...adopted.map(([, atMs]) => atMs));
    });
    const last = Math.max(...times);
    return last === Infinity ? undefined : last - confirm.atMs;
  }
}
