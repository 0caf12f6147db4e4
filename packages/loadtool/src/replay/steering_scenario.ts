/** Scenario `steering`: the entries of one deployment steer requests to fake targets, on the policy bench. */
import {BenchRun, deployments, makeRouteIntent} from '@cuminsill/steering/bench';
import type {BenchFigures, Deployment} from '@cuminsill/steering/bench';
import type {ConfirmedIntent} from '@cuminsill/types';
import type {ManualTime} from '@cuminsill/utils';
import {decodeOrThrow} from '@cuminsill/validation';
import {Schema} from 'effect';
import type {Scenario, ScenarioKind} from './scenario';
import type {TraceEvent, TraceExpectation, TraceHeader} from './trace_file';

const event = {atMs: Schema.Number, event: Schema.String};
const load = Schema.Number.pipe(Schema.between(0.01, 10));

const SettingsSchema = Schema.Struct({
  deployment: Schema.Literal(...deployments.map(({name}) => name)),
  load,
  /** Services of the deployment that the trace is about; all by default. */
  services: Schema.optional(Schema.Array(Schema.String)),
});
const LoadSchema = Schema.Struct({...event, load});
const RegionSchema = Schema.Struct({...event, region: Schema.String});
const EntrySchema = Schema.Struct({...event, entry: Schema.String});
const ReportsSchema = Schema.Struct({...event, arrive: Schema.Boolean});
const TargetSchema = Schema.Struct({...event, target: Schema.String});
const FaultSchema = Schema.Struct({
  ...event,
  target: Schema.String,
  fault: Schema.Literal('none', 'fails-fast', 'full-but-idle'),
});
const MoveSchema = Schema.Struct({
  ...event,
  id: Schema.String,
  service: Schema.String,
  from: Schema.String,
  to: Schema.String,
  maxMovedShare: Schema.Number,
  windowS: Schema.Number,
});
const EventNameSchema = Schema.Struct(
  {
    event: Schema.Literal(
      'load',
      'region-lost',
      'region-back-cold',
      'move-confirmed',
      'entry-cut-off',
      'entry-back',
      'reports',
      'target-fault',
      'target-leaving',
    ),
  },
  Schema.Record({key: Schema.String, value: Schema.Unknown}),
);
const ExpectationSchema = Schema.Struct({
  atMs: Schema.Number,
  expect: Schema.Literal(
    'endpoint-peak',
    'region-peak',
    'largest-moved-share',
    'goodput-share',
    'interactive-lead',
    'last-work-after-leaving-ms',
  ),
  of: Schema.optional(Schema.String),
  value: Schema.Unknown,
});

type EventName = (typeof EventNameSchema.Type)['event'];
type FigureName = (typeof ExpectationSchema.Type)['expect'];

/** Starts a `steering` scenario. */
export const startSteeringScenario: ScenarioKind = (header, time) =>
  new SteeringScenario(header, time);

class SteeringScenario implements Scenario {
  private readonly run: BenchRun;
  private readonly deployment: Deployment;
  private readonly startMs: number;
  private readonly intents = new Map<string, ConfirmedIntent>();

  constructor(
    header: TraceHeader,
    private readonly time: ManualTime,
  ) {
    const settings = decodeOrThrow('steering settings', SettingsSchema, header.settings);
    const deployment = deployments.find(({name}) => name === settings.deployment);
    if (deployment === undefined) throw new Error(`no deployment "${settings.deployment}"`);
    this.deployment = withServices(deployment, settings.services);
    this.startMs = time.monotonicMs();
    this.run = new BenchRun(this.deployment, {
      policy: 'steering',
      load: settings.load,
      reports: 'late',
      faults: false,
      seed: header.seed ?? 7,
    });
  }

  async apply(event: TraceEvent): Promise<void> {
    const name = decodeOrThrow('steering event', EventNameSchema, event).event;
    this.advance();
    this.handlers[name](event);
  }

  async observe(expectation: TraceExpectation): Promise<unknown> {
    const {expect, of} = decodeOrThrow('steering expectation', ExpectationSchema, expectation);
    return this.figures[expect](this.advance(), of ?? '');
  }

  /** Runs the bench up to the time of the trace. */
  private advance(): BenchFigures {
    return this.run.run((this.time.monotonicMs() - this.startMs) / 1000);
  }

  private readonly handlers: Readonly<Record<EventName, (event: TraceEvent) => void>> = {
    load: event => this.run.setLoad(decodeOrThrow('load', LoadSchema, event).load),
    'region-lost': event => this.run.loseRegion(this.regionOf(event)),
    'region-back-cold': event => this.run.returnRegion(this.regionOf(event)),
    'move-confirmed': event => this.confirmMove(event),
    'entry-cut-off': event => this.run.cutOff(this.entryOf(event)),
    'entry-back': event => this.run.reconnect(this.entryOf(event)),
    reports: event =>
      this.run.setReportsArrive(decodeOrThrow('reports', ReportsSchema, event).arrive),
    'target-fault': event => {
      const {target, fault} = decodeOrThrow('target-fault', FaultSchema, event);
      this.run.setFault(target, fault);
    },
    'target-leaving': event =>
      this.run.leave(decodeOrThrow('target-leaving', TargetSchema, event).target),
  };

  private readonly figures: Readonly<
    Record<FigureName, (figures: BenchFigures, of: string) => number>
  > = {
    'endpoint-peak': figures => figures.endpointPeakShare,
    'region-peak': figures => figures.regionPeakShare,
    'largest-moved-share': figures => figures.movedShare,
    'goodput-share': figures => figures.goodputShare,
    'interactive-lead': ({answeredShare}) => answeredShare.interactive - answeredShare.batch,
    'last-work-after-leaving-ms': (_figures, of) => this.run.lastWorkAfterLeavingMs(of),
  };

  private regionOf(event: TraceEvent): string {
    const {region} = decodeOrThrow('region event', RegionSchema, event);
    if (!this.deployment.regionIds.includes(region)) throw new Error(`no region "${region}"`);
    return region;
  }

  private entryOf(event: TraceEvent): number {
    return this.run.entryIndex(decodeOrThrow('entry event', EntrySchema, event).entry);
  }

  private confirmMove(event: TraceEvent): void {
    const {id, service, from, to, maxMovedShare, windowS} = decodeOrThrow(
      'move-confirmed',
      MoveSchema,
      event,
    );
    const intent = makeRouteIntent(
      service,
      from,
      [{regionId: to, share: 1}],
      [{regionId: from, share: 1}],
      {
        id,
        maxMovedShare,
        windowS,
        confirmedAtMs: this.run.loop.nowMs(),
        version: this.intents.size + 2,
      },
    );
    this.intents.set(id, intent);
    this.run.setIntents([...this.intents.values()]);
  }
}

/** Leaves out the other services, so that a trace of an hour takes a few seconds. */
function withServices(deployment: Deployment, ids: readonly string[] | undefined): Deployment {
  if (ids === undefined) return deployment;
  const {catalog} = deployment;
  return {
    ...deployment,
    services: deployment.services.filter(({id}) => ids.includes(id)),
    catalog: {
      ...catalog,
      services: catalog.services.filter(({id}) => ids.includes(id)),
      targets: catalog.targets.filter(({serviceId}) => ids.includes(serviceId)),
      demands: catalog.demands.filter(({serviceId}) => ids.includes(serviceId)),
    },
  };
}
