/** Scenario `store-log`: writers append to one fenced log over a store that loses answers or is down. */
import {MemoryStore} from '@cuminsill/standins';
import type {StoreFault} from '@cuminsill/standins';
import {StoreLog} from '@cuminsill/store';
import type {ManualTime} from '@cuminsill/utils';
import {decodeOrThrow, wholeNumberBetween} from '@cuminsill/validation';
import {Effect, Schema} from 'effect';
import type {Scenario, ScenarioKind} from './scenario';
import type {TraceEvent, TraceExpectation} from './trace_file';

const position = wholeNumberBetween(0, 999_999_999_999);
const event = {atMs: Schema.Number, event: Schema.String};

const AppendSchema = Schema.Struct({
  ...event,
  id: Schema.String,
  writer: Schema.String,
  position,
  body: Schema.String,
  fault: Schema.optional(
    Schema.Literal('none', 'unavailable', 'answer-lost-after-write', 'answer-lost-before-write'),
  ),
});
const CheckpointSchema = Schema.Struct({...event, writer: Schema.String, position});
const TrimSchema = Schema.Struct({...event, writer: Schema.String, through: position});
const OutageSchema = Schema.Struct({...event, down: Schema.Boolean});
const EventNameSchema = Schema.Struct(
  {event: Schema.Literal('append', 'checkpoint', 'trim', 'outage')},
  Schema.Record({key: Schema.String, value: Schema.Unknown}),
);
const ExpectationSchema = Schema.Struct({
  atMs: Schema.Number,
  expect: Schema.Literal('result', 'records'),
  of: Schema.optional(Schema.String),
  value: Schema.Unknown,
});

type EventName = (typeof EventNameSchema.Type)['event'];

/** Starts a `store-log` scenario. */
export const startStoreLogScenario: ScenarioKind = (_header, time) => new StoreLogScenario(time);

class StoreLogScenario implements Scenario {
  private readonly store = new MemoryStore();
  private readonly logs = new Map<string, StoreLog>();
  private readonly results = new Map<string, string>();

  constructor(private readonly time: ManualTime) {}

  async apply(event: TraceEvent): Promise<void> {
    const name = decodeOrThrow('store-log event', EventNameSchema, event).event;
    await this.handlers[name](event);
  }

  async observe(expectation: TraceExpectation): Promise<unknown> {
    const {expect, of} = decodeOrThrow('store-log expectation', ExpectationSchema, expectation);
    if (expect === 'result') return this.results.get(of ?? '') ?? null;
    const records = await Effect.runPromise(this.logOf('observer').readAfter(0));
    return records.map(record => ({
      position: record.position,
      body: Buffer.from(record.body).toString('utf8'),
    }));
  }

  private readonly handlers: Readonly<Record<EventName, (event: TraceEvent) => Promise<void>>> = {
    append: async event => {
      const {id, writer, position, body, fault} = decodeOrThrow('append', AppendSchema, event);
      this.failNextWrite(fault ?? 'none');
      const append = this.logOf(writer).append(position, Buffer.from(body));
      const outcome = await Effect.runPromise(Effect.either(append));
      this.results.set(id, outcome._tag === 'Right' ? 'ok' : outcome.left._tag);
    },
    checkpoint: async event => {
      const {writer, position} = decodeOrThrow('checkpoint', CheckpointSchema, event);
      const log = this.logOf(writer);
      const write = log
        .readCheckpoint()
        .pipe(
          Effect.flatMap(previous => log.writeCheckpoint(position, new Uint8Array(), previous)),
        );
      await Effect.runPromise(write);
    },
    trim: async event => {
      const {writer, through} = decodeOrThrow('trim', TrimSchema, event);
      await Effect.runPromise(this.logOf(writer).trimThrough(through));
    },
    outage: async event => this.store.setOutage(decodeOrThrow('outage', OutageSchema, event).down),
  };

  /** Each writer has its own log object, as each process has. */
  private logOf(writer: string): StoreLog {
    const known = this.logs.get(writer);
    if (known !== undefined) return known;
    const log = new StoreLog(this.store, 'trace', this.time);
    this.logs.set(writer, log);
    return log;
  }

  private failNextWrite(fault: StoreFault): void {
    if (fault === 'none') return;
    let used = false;
    this.store.setFaultPlan(kind => {
      if (kind !== 'write' || used) return 'none';
      used = true;
      return fault;
    });
  }
}
