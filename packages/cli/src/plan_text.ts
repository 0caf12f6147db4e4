/** A plan and the answer to its confirmation as text. */
import type {ConfigurationChangeBody, ConfirmReply, Plan, RegionShare} from '@cuminsill/types';
import {formatFields, formatShare, formatTable} from './table';

type ChangeKind = ConfigurationChangeBody['kind'];

type ChangeTexts = {
  readonly [Kind in ChangeKind]: (
    change: Extract<ConfigurationChangeBody, {readonly kind: Kind}>,
  ) => string;
};

const changeTexts: ChangeTexts = {
  'put-catalog': ({catalog}) =>
    `put the catalog: ${catalog.regions.length} regions, ${catalog.services.length} services, ` +
    `${catalog.targets.length} targets`,
  'put-intent': ({intent}) => `put ${intent.kind} intent ${intent.id}`,
  'remove-intent': ({intentId}) => `remove intent ${intentId}`,
};

/** One line that says what a change does. */
export function changeText(change: ConfigurationChangeBody): string {
  return (changeTexts[change.kind] as (change: ConfigurationChangeBody) => string)(change);
}

/** Shares as text, for example `montevideo 70.0 %, este 30.0 %`. */
export function sharesText(shares: readonly RegionShare[]): string {
  if (shares.length === 0) return '-';
  return shares.map(entry => `${entry.regionId} ${formatShare(entry.share)}`).join(', ');
}

/** A plan with everything that it changes and risks. */
export function planText(plan: Plan): string {
  const sections = [
    formatFields([
      ['plan', plan.digest],
      ['change', changeText(plan.change)],
      ['from version', plan.configVersion],
      ['duration', `${plan.expectedDurationS} s`],
    ]),
    section(
      ['SERVICE', 'CALLERS', 'BEFORE', 'AFTER', 'MOVED'],
      plan.shareChanges.map(change => [
        change.serviceId,
        change.callerRegionId,
        sharesText(change.before),
        sharesText(change.after),
        formatShare(change.movedShare),
      ]),
    ),
    section(
      ['AFTER', 'SERVICE', 'CALLERS', 'SHARES'],
      plan.steps.map(step => [
        `${step.afterS} s`,
        step.serviceId,
        step.callerRegionId,
        sharesText(step.shares),
      ]),
    ),
    section(
      ['SERVICE', 'REGION', 'CAPACITY/S', 'BEFORE/S', 'AFTER/S', 'FREE'],
      plan.headroom.map(entry => [
        entry.serviceId,
        entry.regionId,
        entry.capacityRequestsPerS,
        entry.beforeRequestsPerS,
        entry.afterRequestsPerS,
        formatShare(entry.headroomShare),
      ]),
    ),
    section(
      ['RISK', 'TEXT'],
      plan.risks.map(risk => [risk.severity, risk.text]),
    ),
  ];
  return sections.filter(text => text !== '').join('\n');
}

/** The answer to a confirmation. */
export function confirmText(reply: ConfirmReply): string {
  const states = {
    accepted: `accepted: in force as configuration version ${reply.configVersion}`,
    stored:
      `stored as configuration version ${reply.configVersion}, ` +
      'not yet held by two other instances',
  };
  return `${states[reply.state]}${reply.repeated ? ' (confirmed before)' : ''}\n`;
}

function section(headers: readonly string[], rows: Parameters<typeof formatTable>[1]): string {
  return rows.length === 0 ? '' : formatTable(headers, rows);
}
