/** Scenario `store-log`: writers append to one log with fencing, over a store that loses answers or is unavailable. */
import {MemoryStore} from '@cuminsill/standins';
import type {StoreFault} from '@cuminsill/standins';
import {StoreLog} from '@cuminsill/store';
import type {ManualTime} from '@cuminsill/utils';
import {decodeOrThrow, wholeNumberBetween} from '@cuminsill/validation';
import {Effect, Schema} from 'effect';
import type {Scenario, ScenarioFactory} from './scenario';
import type {TraceEvent, TraceExpectation} from './trace_file';

const position = wholeNumberBetween(0, 999_999_999_999);
const baseEventFields = {atMs: Schema.Number, event: Schema.String};

const AppendSchema = Schema.Struct({
  ...baseEventFields,
  id: Schema.String,
  writer: Schema.String,
  position,
  body: Schema.String,
  fault: Schema.optional(
    Schema.Literal('none', 'unavailable', 'answer-lost-after-write', 'answer-lost-before-write'),
  ),
});
const CheckpointSchema = Schema.Struct({...baseEventFields, writer: Schema.String, position});
const TrimSchema = Schema.Struct({...baseEventFields, writer: Schema.String, through: position});
const OutageSchema = Schema.Struct({...baseEventFields, down: Schema.Boolean});
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
export const startStoreLogScenario: ScenarioFactory = (_header, time) => new StoreLogScenario(time);

class StoreLogScenario implements Scenario {
  private readonly store = new MemoryStore();
  private readonly logs = new Map<string, StoreLog>();
  private readonly results = new Map<string, string>();

  constructor(private readonly time: ManualTime) {}

  async apply(event: TraceEvent): Promise<void> {
    const name = decodeOrThrow('store-log event', EventNameSchema, event).event;
    await this.eventHandlers[name](event);
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

  private readonly eventHandlers: Readonly<
    Record<EventName, (event: TraceEvent) => Promise<void>>
  > = {
    append: async event => {
      const {id, writer, position, body, fault} = decodeOrThrow('append', AppendSchema, event);
      this.failNextWrite(fault ?? 'none');
      const append = this.logOf(writer).append(position, Buffer.from(body));
      const result = await Effect.runPromise(Effect.either(append));
      this.results.set(id, result._tag === 'Right' ? 'ok' : result.left._tag);
    },
    checkpoint: async event => {
      const {writer, position} = decodeOrThrow('checkpoint', CheckpointSchema, event);
      const log = this.logOf(writer);
      const writeNextCheckpoint = log
        .readCheckpoint()
        .pipe(
          Effect.flatMap(previous => log.writeCheckpoint(position, new Uint8Array(), previous)),
        );
      await Effect.runPromise(writeNextCheckpoint);
    },
    trim: async event => {
      const {writer, through} = decodeOrThrow('trim', TrimSchema, event);
      await Effect.runPromise(this.logOf(writer).trimThrough(through));
    },
    outage: async event => this.store.setOutage(decodeOrThrow('outage', OutageSchema, event).down),
  };

  /** Returns the log object of a writer; each writer has its own, as each process does in the system. */
  private logOf(writer: string): StoreLog {
    const existing = this.logs.get(writer);
    if (existing !== undefined) return existing;
    const log = new StoreLog(this.store, 'trace', this.time);
    this.logs.set(writer, log);
    return log;
  }

  private failNextWrite(fault: StoreFault): void {
    if (fault === 'none') return;
    let hasFailed = false;
    this.store.setFaultPlan(kind => {
      if (kind !== 'write' || hasFailed) return 'none';
      hasFailed = true;
      return fault;
    });
  }
}
