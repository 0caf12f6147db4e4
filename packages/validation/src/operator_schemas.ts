/** Schemas of the request bodies of the operators' API. */
import type {CatalogPlanRequest, ConfirmRequest, Plan, PlanRequest} from '@cuminsill/types';
import {Schema} from 'effect';
import {
  CatalogSchema,
  ConfigurationChangeBodySchema,
  IntentSchema,
  RegionShareSchema,
} from './domain_schemas';
import {Identifier} from './fields';

const finiteNumber = Schema.Number.pipe(Schema.finite({message: () => 'use a finite number'}));
const boundedText = Schema.String.pipe(Schema.maxLength(2000));

/** Body of `POST /v1/plans`. */
export const PlanRequestSchema: Schema.Schema<PlanRequest | CatalogPlanRequest> = Schema.Union(
  Schema.Struct({action: Schema.Literal('put'), intent: IntentSchema}),
  Schema.Struct({action: Schema.Literal('remove'), intentId: Identifier}),
  Schema.Struct({action: Schema.Literal('put-catalog'), catalog: CatalogSchema}),
);

/** A plan that an operator sends back for confirmation. */
export const PlanSchema: Schema.Schema<Plan> = Schema.Struct({
  digest: boundedText,
  configVersion: finiteNumber,
  madeAtMs: finiteNumber,
  change: ConfigurationChangeBodySchema,
  shareChanges: Schema.Array(
    Schema.Struct({
      serviceId: Identifier,
      callerRegionId: Identifier,
      before: Schema.Array(RegionShareSchema),
      after: Schema.Array(RegionShareSchema),
      movedShare: finiteNumber,
    }),
  ),
  steps: Schema.Array(
    Schema.Struct({
      afterS: finiteNumber,
      serviceId: Identifier,
      callerRegionId: Identifier,
      shares: Schema.Array(RegionShareSchema),
    }),
  ),
  expectedDurationS: finiteNumber,
  headroom: Schema.Array(
    Schema.Struct({
      serviceId: Identifier,
      regionId: Identifier,
      capacityRequestsPerS: finiteNumber,
      beforeRequestsPerS: finiteNumber,
      afterRequestsPerS: finiteNumber,
      headroomShare: finiteNumber,
    }),
  ),
  risks: Schema.Array(
    Schema.Struct({severity: Schema.Literal('warning', 'blocking'), text: boundedText}),
  ),
  signature: boundedText,
});

/** Body of `POST /v1/plans/confirm`. */
export const ConfirmRequestSchema: Schema.Schema<ConfirmRequest> = Schema.Struct({
  plan: PlanSchema,
});
