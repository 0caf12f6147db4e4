/** Schemas of the bodies that operators send. */
import type {CatalogPlanRequest, ConfirmRequest, Plan, PlanRequest} from '@cuminsill/types';
import {Schema} from 'effect';
import {
  CatalogSchema,
  ConfigurationChangeBodySchema,
  IntentSchema,
  RegionShareSchema,
} from './domain_schemas';
import {Identifier} from './fields';

const finite = Schema.Number.pipe(Schema.finite({message: () => 'use a finite number'}));
const text = Schema.String.pipe(Schema.maxLength(2000));

/** Body of `POST /v1/plans`. */
export const PlanRequestSchema: Schema.Schema<PlanRequest | CatalogPlanRequest> = Schema.Union(
  Schema.Struct({action: Schema.Literal('put'), intent: IntentSchema}),
  Schema.Struct({action: Schema.Literal('remove'), intentId: Identifier}),
  Schema.Struct({action: Schema.Literal('put-catalog'), catalog: CatalogSchema}),
);

/** A plan as an operator sends it back. */
export const PlanSchema: Schema.Schema<Plan> = Schema.Struct({
  digest: text,
  configVersion: finite,
  madeAtMs: finite,
  change: ConfigurationChangeBodySchema,
  shareChanges: Schema.Array(
    Schema.Struct({
      serviceId: Identifier,
      callerRegionId: Identifier,
      before: Schema.Array(RegionShareSchema),
      after: Schema.Array(RegionShareSchema),
      movedShare: finite,
    }),
  ),
  steps: Schema.Array(
    Schema.Struct({
      afterS: finite,
      serviceId: Identifier,
      callerRegionId: Identifier,
      shares: Schema.Array(RegionShareSchema),
    }),
  ),
  expectedDurationS: finite,
  headroom: Schema.Array(
    Schema.Struct({
      serviceId: Identifier,
      regionId: Identifier,
      capacityRequestsPerS: finite,
      beforeRequestsPerS: finite,
      afterRequestsPerS: finite,
      headroomShare: finite,
    }),
  ),
  risks: Schema.Array(Schema.Struct({severity: Schema.Literal('warning', 'blocking'), text})),
  signature: text,
});

/** Body of `POST /v1/plans/confirm`. */
export const ConfirmRequestSchema: Schema.Schema<ConfirmRequest> = Schema.Struct({
  plan: PlanSchema,
});
