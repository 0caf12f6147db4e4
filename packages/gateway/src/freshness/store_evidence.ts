/** Evidence of how far the store had come at a time: what a linearizable read has shown, as gateways pass it on. */
import type {JsonObject} from '@cuminsill/utils';
import {asObject, countField, numberField, stringField} from '@cuminsill/utils';
import type {MessageFields} from '../peers/coordination_channel';
import type {StoreRevision} from '../store/feed_progress';

/** What a gateway has learnt by reading the store. Its time is on the clock of the gateway that holds it. */
export interface StoreEvidence extends StoreRevision {
  /** The gateway that has read the store. */
  readonly reader: string;
  /** Increases with each evidence of the reader, also over restarts. */
  readonly number: number;
  /** For each kind of objects: none has changed after this revision and up to `revision`. */
  readonly changedAtRevisions: ReadonlyMap<string, number>;
}

/** Encodes evidence with its age in place of its time. */
export function encodeEvidence(evidence: StoreEvidence, nowMs: number): MessageFields {
  const {reader, number, era, revision, changedAtRevisions, readAtMs} = evidence;
  const ageMs = Math.ceil(nowMs - readAtMs);
  const changedAt = Object.fromEntries(changedAtRevisions);
  return {reader, number, era, revision, changedAt, ageMs};
}

/** Decodes evidence that has just been received; undefined when a field is invalid. */
export function decodeEvidence(fields: JsonObject, nowMs: number): StoreEvidence | undefined {
  const reader = stringField(fields, 'reader');
  const number = countField(fields, 'number');
  const revision = countField(fields, 'revision');
  const ageMs = numberField(fields, 'ageMs');
  const changedAt = asObject(fields['changedAt']);
  if (reader === undefined || number === undefined || revision === undefined) return undefined;
  if (ageMs === undefined || ageMs < 0 || changedAt === undefined) return undefined;
  const changedAtRevisions = new Map<string, number>();
  for (const kind of Object.keys(changedAt)) {
    const changedAtRevision = countField(changedAt, kind);
    if (changedAtRevision === undefined) return undefined;
    changedAtRevisions.set(kind, changedAtRevision);
  }
  const era = countField(fields, 'era');
  return {reader, number, era, revision, changedAtRevisions, readAtMs: nowMs - ageMs};
}
