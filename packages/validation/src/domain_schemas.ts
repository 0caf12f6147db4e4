/** Schemas of the domain objects in `@cuminsill/types`. */
import type {
  Catalog,
  Configuration,
  ConfigurationChange,
  ConfigurationChangeBody,
  Intent,
} from '@cuminsill/types';
import {Schema} from 'effect';
import {Identifier, numberBetween, SocketAddressSchema, wholeNumberBetween} from './fields';

const shortText = Schema.String.pipe(Schema.maxLength(200));
const epochMs = wholeNumberBetween(0, Number.MAX_SAFE_INTEGER);

/** Share of traffic for one target region. */
export const RegionShareSchema = Schema.Struct({regionId: Identifier, share: numberBetween(0, 1)});

const SharesSchema = Schema.Array(RegionShareSchema).pipe(
  Schema.filter(
    shares => Math.abs(shares.reduce((sum, entry) => sum + entry.share, 0) - 1) < 1e-6,
    {message: () => 'give shares that add up to 1'},
  ),
);

const RouteIntentSchema = Schema.Struct({
  kind: Schema.Literal('route'),
  id: Identifier,
  serviceId: Identifier,
  callerRegionId: Identifier,
  shares: SharesSchema,
  maxMovedShare: numberBetween(0.001, 1),
  windowS: wholeNumberBetween(1, 86_400),
});

const DrainIntentSchema = Schema.Struct({
  kind: Schema.Literal('drain'),
  id: Identifier,
  siteId: Identifier,
});

const StopIntentSchema = Schema.Struct({
  kind: Schema.Literal('stop'),
  id: Identifier,
  siteId: Identifier,
});

/** An intent of any kind. */
export const IntentSchema: Schema.Schema<Intent> = Schema.Union(
  RouteIntentSchema,
  DrainIntentSchema,
  StopIntentSchema,
);

const ServiceContractSchema = Schema.Struct({
  id: Identifier,
  trafficClass: Schema.Literal('interactive', 'upload', 'batch'),
  idempotency: Schema.Literal('idempotent', 'non-idempotent'),
  defaultTimeoutMs: wholeNumberBetween(1, 3_600_000),
  notRunStatuses: Schema.Array(wholeNumberBetween(400, 599)),
  expectedServiceMs: numberBetween(0.01, 3_600_000),
});

const TargetSchema = Schema.Struct({
  id: Identifier,
  serviceId: Identifier,
  siteId: Identifier,
  regionId: Identifier,
  failureDomainId: Identifier,
  address: SocketAddressSchema,
  slots: wholeNumberBetween(1, 10_000),
  maxConnections: wholeNumberBetween(1, 1_000_000),
});

/** The catalog that the platform's operators maintain. */
export const CatalogSchema: Schema.Schema<Catalog> = Schema.Struct({
  regions: Schema.Array(Schema.Struct({id: Identifier, name: shortText})),
  failureDomains: Schema.Array(Schema.Struct({id: Identifier, regionId: Identifier})),
  links: Schema.Array(
    Schema.Struct({
      fromRegionId: Identifier,
      toRegionId: Identifier,
      oneWayLatencyMs: numberBetween(0, 10_000),
    }),
  ),
  services: Schema.Array(ServiceContractSchema),
  targets: Schema.Array(TargetSchema),
  clientBlocks: Schema.Array(Schema.Struct({prefix: shortText, regionId: Identifier})),
  demands: Schema.Array(
    Schema.Struct({
      serviceId: Identifier,
      callerRegionId: Identifier,
      requestsPerS: numberBetween(0, 1e9),
    }),
  ),
});

/** The change itself, without its version, author and time. */
export const ConfigurationChangeBodySchema: Schema.Schema<ConfigurationChangeBody> = Schema.Union(
  Schema.Struct({kind: Schema.Literal('put-catalog'), catalog: CatalogSchema}),
  Schema.Struct({
    kind: Schema.Literal('put-intent'),
    intent: IntentSchema,
    previousShares: Schema.Array(RegionShareSchema),
  }),
  Schema.Struct({kind: Schema.Literal('remove-intent'), intentId: Identifier}),
);

/** One record of the configuration log. */
export const ConfigurationChangeSchema: Schema.Schema<ConfigurationChange> = Schema.Struct({
  version: wholeNumberBetween(1, Number.MAX_SAFE_INTEGER),
  author: shortText,
  acceptedAtMs: epochMs,
  planDigest: shortText,
  body: ConfigurationChangeBodySchema,
});

/** A whole configuration, as instances send it to each other. */
export const ConfigurationSchema: Schema.Schema<Configuration> = Schema.Struct({
  version: wholeNumberBetween(0, Number.MAX_SAFE_INTEGER),
  catalog: CatalogSchema,
  intents: Schema.Array(
    Schema.Struct({
      intent: IntentSchema,
      version: wholeNumberBetween(0, Number.MAX_SAFE_INTEGER),
      confirmedBy: shortText,
      confirmedAtMs: epochMs,
      previousShares: Schema.Array(RegionShareSchema),
    }),
  ),
});
