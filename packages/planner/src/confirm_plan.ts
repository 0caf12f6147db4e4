/** Signs plans and decides what a confirmation does. */
import {ResultError, resultCodes} from '@cuminsill/types';
import type {Configuration, ConfigurationChange, Plan} from '@cuminsill/types';
import {digest} from '@cuminsill/utils';
import {canonicalJson, equalSignatures, sign} from './sign';
import type {SigningKey} from './sign';

/** A plan without the fields that identify and sign it. */
export type PlanContent = Omit<Plan, 'digest' | 'signature'>;

/** A change that still lacks its author and the time of its acceptance. */
export type ProposedChange = Omit<ConfigurationChange, 'author' | 'acceptedAtMs'>;

/** What to do with a confirmation: append a change, repeat the earlier answer, or refuse. */
export type ConfirmationDecision = ProposedChange | 'repeated' | ResultError;

const planPurpose = 'cuminsill plan v1';

/** Adds the digest and the signature. */
export function signPlan(content: PlanContent, signingKey: SigningKey): Plan {
  const text = canonicalJson(content);
  const planDigest = digest(text);
  const signature = sign(signingKey, planPurpose, text).toString('base64url');
  return {...content, digest: planDigest, signature};
}

/**
 * True when an instance with the same key made the plan and nothing of it was changed. The plan may come from
 * outside unchecked: whatever the type says, any other value gives false.
 */
export function verifyPlan(plan: Plan, signingKey: SigningKey): boolean {
  if (typeof plan !== 'object' || plan === null) return false;
  const {digest: planDigest, signature, ...content} = plan;
  const text = canonicalJson(content);
  const expected = sign(signingKey, planPurpose, text).toString('base64url');
  const found = Buffer.from(String(signature));
  return equalSignatures(Buffer.from(expected), found) && planDigest === digest(text);
}

/**
 * Decides on the confirmation of a plan whose signature was verified. A plan that was confirmed before is
 * `repeated` whatever the version is now. Two plans made from one version cannot both be confirmed.
 * @param confirmedDigests Digests of the plans in the configuration log.
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
  const blocking = plan.risks.filter(risk => risk.severity === 'blocking');
  if (blocking.length > 0) {
    return new ResultError(resultCodes.planUnsafe, blocking.map(risk => risk.text).join(' '));
  }
  return {version: configuration.version + 1, planDigest: plan.digest, body: plan.change};
}
