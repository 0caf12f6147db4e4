/** Formats plans and the answers to confirmations as text. */
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

/** Describes a change in one line. */
export function changeText(change: ConfigurationChangeBody): string {
  return (changeTexts[change.kind] as (change: ConfigurationChangeBody) => string)(change);
}

/** Formats shares, for example as `montevideo 70.0 %, este 30.0 %`. */
export function sharesText(shares: readonly RegionShare[]): string {
  if (shares.length === 0) return '-';
  return shares.map(entry => `${entry.regionId} ${formatShare(entry.share)}`).join(', ');
}

/** Formats a plan with its share changes, steps, headroom and risks. */
export function planText(plan: Plan): string {
  const sections = [
    formatFields([
      ['plan', plan.digest],
      ['change', changeText(plan.change)],
      ['from version', plan.configVersion],
      ['duration', `${plan.expectedDurationS} s`],
    ]),
    tableSection(
      ['SERVICE', 'CALLERS', 'BEFORE', 'AFTER', 'MOVED'],
      plan.shareChanges.map(change => [
        change.serviceId,
        change.callerRegionId,
        sharesText(change.before),
        sharesText(change.after),
        formatShare(change.movedShare),
      ]),
    ),
    tableSection(
      ['AFTER', 'SERVICE', 'CALLERS', 'SHARES'],
      plan.steps.map(step => [
        `${step.afterS} s`,
        step.serviceId,
        step.callerRegionId,
        sharesText(step.shares),
      ]),
    ),
    tableSection(
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
    tableSection(
      ['RISK', 'TEXT'],
      plan.risks.map(risk => [risk.severity, risk.text]),
    ),
  ];
  return sections.filter(text => text !== '').join('\n');
}

/** Formats the answer to a confirmation. */
export function confirmationText(reply: ConfirmReply): string {
  const states = {
    accepted: `accepted: in force as configuration version ${reply.configVersion}`,
    stored:
      `stored as configuration version ${reply.configVersion}, ` +
      'not yet held by two other instances',
  };
  return `${states[reply.state]}${reply.repeated ? ' (confirmed before)' : ''}\n`;
}

function tableSection(headers: readonly string[], rows: Parameters<typeof formatTable>[1]): string {
  return rows.length === 0 ? '' : formatTable(headers, rows);
}
