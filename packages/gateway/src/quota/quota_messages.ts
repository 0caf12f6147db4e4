/** Messages of the quotas between gateways, and their decoding from received datagrams. */
import type {JsonObject} from '@cuminsill/utils';
import {countField, numberField, stringField} from '@cuminsill/utils';

/** Coordination feature of gateways that take part. */
export const quotaFeature = 'quota';
/** Kinds of messages. */
export const quotaReportKind = 'quota-report';
export const quotaGrantKind = 'quota-grant';

/** A gateway's report on one workspace to its owner. */
export interface QuotaReport {
  readonly workspace: string;
  /** Start of the sender's process, in milliseconds since the Unix epoch. */
  readonly startedAtMs: number;
  /** Increases with each report of a process, whoever the owner is. */
  readonly sequence: number;
  /** Tokens that the sender keeps. */
  readonly held: number;
  /** Tokens that the sender gives back with this report. */
  readonly returned: number;
  /** Tokens for requests that wait. */
  readonly waiting: number;
  /** Tokens for requests that are expected soon. */
  readonly expected: number;
  /** True when a higher-ranked owner did not answer the sender. */
  readonly hasSkipped: boolean;
}

/** The owner's answer to a report. */
export interface QuotaGrant {
  readonly workspace: string;
  /** Of the report. */
  readonly sequence: number;
  readonly granted: number;
  /** The gateway refuses requests without a token, and sends no report, for this long; 0 when there are tokens left. */
  readonly refuseForMs: number;
  /** Time that the rate needs for the requests refused recently. */
  readonly backlogMs: number;
  /** A higher-ranked gateway to ask instead; undefined when the sender is the owner. */
  readonly owner: string | undefined;
}

/** Claim of a new owner to gateways that may be owners, in the form of a report without use. */
export interface QuotaClaim {
  readonly workspace: string;
  readonly claim: number;
  /** Fraction of the limit that the claimant grants although the receiver may be alive; 0 for a lower-ranked receiver. */
  readonly share: number;
}

/** Answer to a claim. */
export interface ClaimAnswer {
  readonly workspace: string;
  readonly claim: number;
  /** True when the sender grants nothing any more. */
  readonly hasYielded: boolean;
  /** Tokens that the sender hands over. */
  readonly level: number;
  /** Tokens in allowances that the sender has granted. */
  readonly outstanding: number;
}

/** Decodes a report; undefined when it is not one. */
export function decodeReport(fields: JsonObject): QuotaReport | undefined {
  const workspace = stringField(fields, 'workspace');
  const startedAtMs = numberField(fields, 'start');
  const sequence = countField(fields, 'sequence');
  const [held, returned] = [countField(fields, 'held'), countField(fields, 'returned')];
  const [waiting, expected] = [countField(fields, 'waiting'), countField(fields, 'expected')];
  if (workspace === undefined || startedAtMs === undefined || sequence === undefined) {
    return undefined;
  }
  if (held === undefined || returned === undefined) return undefined;
  if (waiting === undefined || expected === undefined) return undefined;
  const hasSkipped = fields['skipped'] === true;
  return {workspace, startedAtMs, sequence, held, returned, waiting, expected, hasSkipped};
}

/** Encodes a report. */
export function encodeReport(report: QuotaReport): JsonObject {
  const {startedAtMs, hasSkipped, ...rest} = report;
  return {...rest, start: startedAtMs, ...(hasSkipped ? {skipped: true} : {})};
}

/** Decodes a grant; undefined when it is not one. */
export function decodeGrant(fields: JsonObject): QuotaGrant | undefined {
  const workspace = stringField(fields, 'workspace');
  const sequence = countField(fields, 'sequence');
  const granted = countField(fields, 'granted');
  if (workspace === undefined || sequence === undefined || granted === undefined) return undefined;
  const refuseForMs = Math.max(0, numberField(fields, 'refuseForMs') ?? 0);
  const backlogMs = Math.max(0, numberField(fields, 'backlogMs') ?? 0);
  const owner = stringField(fields, 'owner');
  return {workspace, sequence, granted, refuseForMs, backlogMs, owner};
}

/** Decodes a claim; undefined when it is not one. */
export function decodeClaim(fields: JsonObject): QuotaClaim | undefined {
  const workspace = stringField(fields, 'workspace');
  const claim = countField(fields, 'claim');
  const share = numberField(fields, 'share') ?? 0;
  if (workspace === undefined || claim === undefined) return undefined;
  return {workspace, claim, share: Math.min(1, Math.max(0, share))};
}

/** Decodes the answer to a claim; undefined when it is not one. */
export function decodeClaimAnswer(fields: JsonObject): ClaimAnswer | undefined {
  const claim = decodeClaim(fields);
  if (claim === undefined) return undefined;
  return {
    workspace: claim.workspace,
    claim: claim.claim,
    hasYielded: fields['yielded'] === true,
    level: Math.max(0, numberField(fields, 'level') ?? 0),
    outstanding: Math.max(0, numberField(fields, 'outstanding') ?? 0),
  };
}

/** Encodes the answer to a claim. */
export function encodeClaimAnswer({hasYielded, ...rest}: ClaimAnswer): JsonObject {
  return {...rest, yielded: hasYielded};
}
