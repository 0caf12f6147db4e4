/** Signs and verifies plans, and decides whether a confirmed plan becomes a configuration change. */
import {ResultError, resultCodes} from '@cuminsill/types';
import type {Configuration, ConfigurationChange, Plan} from '@cuminsill/types';
import {digest} from '@cuminsill/utils';
import {canonicalJson, equalSignatures, sign} from './sign';
import type {SigningKey} from './sign';

/** The signed content of a plan: everything except its digest and signature. */
export type PlanContent = Omit<Plan, 'digest' | 'signature'>;

/** A configuration change without its author and acceptance time, which are set when it is appended. */
export type ProposedChange = Omit<ConfigurationChange, 'author' | 'acceptedAtMs'>;

/** Result of a confirmation: the change to append, `repeated` for a plan confirmed before, or a refusal. */
export type ConfirmationDecision = ProposedChange | 'repeated' | ResultError;

const planSignaturePurpose = 'cuminsill plan v1';

/** Adds the digest and the signature to the content of a plan. */
export function signPlan(content: PlanContent, signingKey: SigningKey): Plan {
  const canonicalText = canonicalJson(content);
  const planDigest = digest(canonicalText);
  const signature = sign(signingKey, planSignaturePurpose, canonicalText).toString('base64url');
  return {...content, digest: planDigest, signature};
}

/**
 * Returns true when the plan is unmodified and was signed with the same key. The argument may be unvalidated input:
 * any value that is not a plan gives false.
 */
export function verifyPlan(plan: Plan, signingKey: SigningKey): boolean {
  if (typeof plan !== 'object' || plan === null) return false;
  const {digest: planDigest, signature, ...content} = plan;
  const canonicalText = canonicalJson(content);
  const expectedSignature = sign(signingKey, planSignaturePurpose, canonicalText).toString(
    'base64url',
  );
  const actualSignature = Buffer.from(String(signature));
  return (
    equalSignatures(Buffer.from(expectedSignature), actualSignature) &&
    planDigest === digest(canonicalText)
  );
}

/**
 * Decides the result of confirming a plan whose signature has been verified. A plan that was already confirmed gives
 * `repeated`, whatever the current version is. Of several plans made from one version, at most one can be confirmed.
 * @param confirmedDigests Digests of the confirmed plans in the configuration log.
 */
export function decideConfirmation(
  plan: Plan,
  configuration: Configuration,
  confirmedDigests: ReadonlySet<string>,
): ConfirmationDecision {
  if (confirmedDigests.has(plan.digest)) return 'repeated';
  if (plan.configVersion !== configuration.version) {
    const detail =
      `The plan was made from version ${plan.configVersion}; the current version is ` +
      `${configuration.version}.`;
    return new ResultError(resultCodes.planConflict, detail);
  }
  const blockingRisks = plan.risks.filter(risk => risk.severity === 'blocking');
  if (blockingRisks.length > 0) {
    return new ResultError(resultCodes.planUnsafe, blockingRisks.map(risk => risk.text).join(' '));
  }
  return {version: configuration.version + 1, planDigest: plan.digest, body: plan.change};
}
