/**
 * Settings of the daemons. A settings file is validated and its defaults are filled in before a daemon listens; all
 * problems are reported together, and the daemon exits. `docs/settings.md` lists the fields.
 */
import {readFileSync} from 'node:fs';
import {Schema} from 'effect';
import {decodeJsonOrThrow, InvalidDataError} from './decode';
import {Identifier, numberBetween, SocketAddressSchema, wholeNumberBetween} from './fields';

function withDefault<A, I>(schema: Schema.Schema<A, I>, value: NoInfer<A>) {
  return Schema.optionalWith(schema, {default: () => value});
}

const InstanceIdentitySchema = Schema.Struct({
  id: Identifier,
  regionId: Identifier,
  failureDomainId: Identifier,
});

const LogSchema = Schema.Struct({
  level: withDefault(Schema.Literal('debug', 'info', 'warn', 'error'), 'info'),
});

const MetricsSchema = Schema.Struct({
  host: SocketAddressSchema.fields.host,
  port: SocketAddressSchema.fields.port,
  flushIntervalMs: withDefault(wholeNumberBetween(10, 60_000), 1000),
});

const minSecretLength = 16;

const SecretSchema = Schema.String.pipe(
  Schema.minLength(minSecretLength, {
    message: () => `use a secret of at least ${minSecretLength} characters`,
  }),
);

const TlsSchema = Schema.Struct({
  certFile: Schema.String,
  keyFile: Schema.String,
  /** Certificate authority of the peers. When set, peers must present a certificate that it signed. */
  caFile: Schema.optional(Schema.String),
});

/** Settings of `cuminsill-entry`. */
export const EntrySettingsSchema = Schema.Struct({
  instance: InstanceIdentitySchema,
  callers: SocketAddressSchema,
  peers: SocketAddressSchema,
  /** Peer address of the control process of the same instance. */
  control: SocketAddressSchema,
  /** Key shared by all instances; authenticates calls between instances and signs refusals. */
  peerKey: SecretSchema,
  peerTls: Schema.optional(TlsSchema),
  log: withDefault(LogSchema, {level: 'info'}),
  metrics: Schema.optional(MetricsSchema),
  maxConnections: withDefault(wholeNumberBetween(1, 1_000_000), 10_000),
  maxHeaderBytes: withDefault(wholeNumberBetween(1024, 1_048_576), 16_384),
  maxBodyBytes: withDefault(wholeNumberBetween(0, Number.MAX_SAFE_INTEGER), 268_435_456),
  /** Request bodies up to this size are buffered, so that a request that was not run can be sent to another target. */
  replayBufferBytes: withDefault(wholeNumberBetween(0, 16_777_216), 65_536),
  maxTimeoutMs: withDefault(wholeNumberBetween(1, 3_600_000), 600_000),
  headersTimeoutMs: withDefault(wholeNumberBetween(100, 600_000), 10_000),
  keepAliveTimeoutMs: withDefault(wholeNumberBetween(100, 3_600_000), 30_000),
  maxAttempts: withDefault(wholeNumberBetween(1, 10), 3),
  lookupTtlS: withDefault(wholeNumberBetween(0, 3600), 5),
  /** How long a stopping entry process keeps accepting requests beyond `lookupTtlS`, in seconds. */
  stopMarginS: withDefault(numberBetween(0, 600), 2),
  /** Time since the platform store or any peer last answered after which the ramps of the shares stop, in seconds. */
  freezeAfterS: withDefault(numberBetween(1, 86_400), 60),
  /** Interval at which slow start opens another slot of a target, in seconds. */
  slowStartStepS: withDefault(numberBetween(0, 600), 2),
  /** Maximum number of queued requests per slot that the entry process holds; at least one slot is counted. */
  queuePerSlot: withDefault(wholeNumberBetween(0, 1000), 4),
  /** Age above which target reports are ignored, in seconds. */
  reportMaxAgeS: withDefault(numberBetween(0.1, 3600), 10),
  probeIntervalS: withDefault(numberBetween(0.05, 600), 2),
  /** Whether reads that take unusually long are hedged: also sent to a second target, within the hedge budget. */
  hedging: withDefault(Schema.Boolean, false),
});

/** Settings of `cuminsill-entry` with all defaults filled in. */
export type EntrySettings = Schema.Schema.Type<typeof EntrySettingsSchema>;

const OperatorSchema = Schema.Struct({
  name: Identifier,
  role: Schema.Literal('viewer', 'operator'),
  /** SHA-256 of the operator's token, in hexadecimal. */
  tokenSha256: Schema.String.pipe(
    Schema.pattern(/^[0-9a-f]{64}$/, {
      message: () => 'use the SHA-256 of the token as 64 hexadecimal digits',
    }),
  ),
});

/** Settings of `cuminsill-control`. */
export const ControlSettingsSchema = Schema.Struct({
  instance: InstanceIdentitySchema,
  /** Address at which callers reach the entry process of the same instance. */
  callers: SocketAddressSchema,
  /** Address at which other entry processes reach the entry process of the same instance. */
  entryPeers: SocketAddressSchema,
  peers: SocketAddressSchema,
  operators: SocketAddressSchema,
  store: SocketAddressSchema,
  storeTimeoutMs: withDefault(wholeNumberBetween(10, 60_000), 2000),
  /** The platform's list of instances. */
  instanceList: Schema.optional(SocketAddressSchema),
  instanceListIntervalS: withDefault(numberBetween(0.1, 3600), 10),
  /** Peer addresses of control processes to contact first. */
  seeds: withDefault(Schema.Array(SocketAddressSchema), []),
  peerKey: SecretSchema,
  peerTls: Schema.optional(TlsSchema),
  operatorTls: Schema.optional(TlsSchema),
  /** Operators who may use the operators' API. */
  operatorTokens: withDefault(Schema.Array(OperatorSchema), []),
  log: withDefault(LogSchema, {level: 'info'}),
  metrics: Schema.optional(MetricsSchema),
  claimShards: withDefault(wholeNumberBetween(1, 4096), 16),
  maxOperatorBodyBytes: withDefault(wholeNumberBetween(1024, 67_108_864), 8_388_608),
  heartbeatIntervalS: withDefault(numberBetween(0.05, 60), 1),
  /** How long a stopping instance keeps answering its peers, in seconds. */
  stopMarginS: withDefault(numberBetween(0, 600), 2),
});

/** Settings of `cuminsill-control` with all defaults filled in. */
export type ControlSettings = Schema.Schema.Type<typeof ControlSettingsSchema>;

/** Paths of the TLS files of one port. */
export type TlsSettings = Schema.Schema.Type<typeof TlsSchema>;

/** Reads and validates a settings file. Throws InvalidDataError with all problems. */
export function loadSettings<A, I>(file: string, schema: Schema.Schema<A, I>): A {
  return decodeJsonOrThrow(file, schema, readSettingsFile(file));
}

function readSettingsFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'cannot be read';
    throw new InvalidDataError(file, [
      {field: '(file)', value: 'missing', fix: `name a file that can be read (${reason})`},
    ]);
  }
}
