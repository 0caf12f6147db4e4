/** Scenario `steering`: entries steer requests to fake targets in the simulation of the steering package. */
import {BenchRun, deployments, makeRouteIntent} from '@cuminsill/steering/bench';
import type {BenchFigures, Deployment} from '@cuminsill/steering/bench';
import type {ConfirmedIntent} from '@cuminsill/types';
import type {ManualTime} from '@cuminsill/utils';
import {decodeOrThrow} from '@cuminsill/validation';
import {Schema} from 'effect';
import type {Scenario, ScenarioFactory} from './scenario';
import type {TraceEvent, TraceExpectation, TraceHeader} from './trace_file';

const baseEventFields = {atMs: Schema.Number, event: Schema.String};
const loadFactor = Schema.Number.pipe(Schema.between(0.01, 10));

const SettingsSchema = Schema.Struct({
  deployment: Schema.Literal(...deployments.map(({name}) => name)),
  load: loadFactor,
  /** Services of the deployment that are simulated; all by default. */
  services: Schema.optional(Schema.Array(Schema.String)),
});
const LoadSchema = Schema.Struct({...baseEventFields, load: loadFactor});
const RegionSchema = Schema.Struct({...baseEventFields, region: Schema.String});
const EntrySchema = Schema.Struct({...baseEventFields, entry: Schema.String});
const ReportsSchema = Schema.Struct({...baseEventFields, arrive: Schema.Boolean});
const TargetSchema = Schema.Struct({...baseEventFields, target: Schema.String});
const FaultSchema = Schema.Struct({
  ...baseEventFields,
  target: Schema.String,
  fault: Schema.Literal('none', 'fails-fast', 'full-but-idle'),
});
const ConfirmedMoveSchema = Schema.Struct({
  ...baseEventFields,
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
type ObservationName = (typeof ExpectationSchema.Type)['expect'];

/** Starts a `steering` scenario. */
export const startSteeringScenario: ScenarioFactory = (header, time) =>
  new SteeringScenario(header, time);

class SteeringScenario implements Scenario {
  private readonly simulation: BenchRun;
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
    this.deployment = selectServices(deployment, settings.services);
    this.startMs = time.monotonicMs();
    this.simulation = new BenchRun(this.deployment, {
      policy: 'steering',
      load: settings.load,
      reports: 'late',
      faults: false,
      seed: header.seed ?? 7,
    });
  }

  async apply(event: TraceEvent): Promise<void> {
    const name = decodeOrThrow('steering event', EventNameSchema, event).event;
    this.advanceSimulation();
    this.eventHandlers[name](event);
  }

  async observe(expectation: TraceExpectation): Promise<unknown> {
    const {expect, of} = decodeOrThrow('steering expectation', ExpectationSchema, expectation);
    return this.observers[expect](this.advanceSimulation(), of ?? '');
  }

  /** Runs the simulation up to the current time of the trace. */
  private advanceSimulation(): BenchFigures {
    return this.simulation.run((this.time.monotonicMs() - this.startMs) / 1000);
  }

  private readonly eventHandlers: Readonly<Record<EventName, (event: TraceEvent) => void>> = {
    load: event => this.simulation.setLoad(decodeOrThrow('load', LoadSchema, event).load),
    'region-lost': event => this.simulation.loseRegion(this.regionIdOf(event)),
    'region-back-cold': event => this.simulation.returnRegion(this.regionIdOf(event)),
    'move-confirmed': event => this.confirmMove(event),
    'entry-cut-off': event => this.simulation.cutOff(this.entryIndexOf(event)),
    'entry-back': event => this.simulation.reconnect(this.entryIndexOf(event)),
    reports: event =>
      this.simulation.setReportsArrive(decodeOrThrow('reports', ReportsSchema, event).arrive),
    'target-fault': event => {
      const {target, fault} = decodeOrThrow('target-fault', FaultSchema, event);
      this.simulation.setFault(target, fault);
    },
    'target-leaving': event =>
      this.simulation.leave(decodeOrThrow('target-leaving', TargetSchema, event).target),
  };

  private readonly observers: Readonly<
    Record<ObservationName, (figures: BenchFigures, of: string) => number>
  > = {
    'endpoint-peak': figures => figures.endpointPeakShare,
    'region-peak': figures => figures.regionPeakShare,
    'largest-moved-share': figures => figures.movedShare,
    'goodput-share': figures => figures.goodputShare,
    'interactive-lead': ({answeredShare}) => answeredShare.interactive - answeredShare.batch,
    'last-work-after-leaving-ms': (_figures, of) => this.simulation.lastWorkAfterLeavingMs(of),
  };

  private regionIdOf(event: TraceEvent): string {
    const {region} = decodeOrThrow('region event', RegionSchema, event);
    if (!this.deployment.regionIds.includes(region)) throw new Error(`no region "${region}"`);
    return region;
  }

  private entryIndexOf(event: TraceEvent): number {
    return this.simulation.entryIndex(decodeOrThrow('entry event', EntrySchema, event).entry);
  }

  private confirmMove(event: TraceEvent): void {
    const {id, service, from, to, maxMovedShare, windowS} = decodeOrThrow(
      'move-confirmed',
      ConfirmedMoveSchema,
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
        confirmedAtMs: this.simulation.loop.nowMs(),
        version: this.intents.size + 2,
      },
    );
    this.intents.set(id, intent);
    this.simulation.setIntents([...this.intents.values()]);
  }
}

/** Keeps only the given services, so that a trace of an hour replays in a few seconds. */
function selectServices(
  deployment: Deployment,
  serviceIds: readonly string[] | undefined,
): Deployment {
  if (serviceIds === undefined) return deployment;
  const {catalog} = deployment;
  return {
    ...deployment,
    services: deployment.services.filter(({id}) => serviceIds.includes(id)),
    catalog: {
      ...catalog,
      services: catalog.services.filter(({id}) => serviceIds.includes(id)),
      targets: catalog.targets.filter(({serviceId}) => serviceIds.includes(serviceId)),
      demands: catalog.demands.filter(({serviceId}) => serviceIds.includes(serviceId)),
    },
  };
}
