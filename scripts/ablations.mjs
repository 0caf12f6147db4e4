/**
 * The mechanisms that are switched off one by one, each with its plainest alternative, as replacements in the source of a
 * scratch copy. A replacement whose text is not found is an error, so that the list follows the code.
 */

const gateway = 'packages/gateway/src';
const placement = `${gateway}/targets/placement.ts`;

export const ablations = [
  {
    name: 'preferred target by hash',
    instead: 'the target with the shortest expected wait, without regard to the object',
    changes: [
      {
        file: placement,
        find: 'const mayBeCached = objectKey !== undefined && rank < cachingTargetsPerObject;',
        replace: 'const mayBeCached = false as boolean;',
      },
    ],
  },
  {
    name: 'cost of an eviction',
    instead: 'none',
    changes: [
      {
        file: placement,
        find: 'const evictionCostFactor = 1;',
        replace: 'const evictionCostFactor = 0;',
      },
    ],
  },
  {
    name: 'cost of an eviction as it is',
    instead: 'twice the cost',
    changes: [
      {
        file: placement,
        find: 'const evictionCostFactor = 1;',
        replace: 'const evictionCostFactor = 2;',
      },
    ],
  },
  {
    name: 'cost of full targets',
    instead: 'none: an object moves to the target with the shortest time, full or not',
    changes: [
      {
        file: placement,
        find: 'const fullTargetCostMs = 10_000;',
        replace: 'const fullTargetCostMs = 0;',
      },
    ],
  },
  {
    name: 'cost per rank',
    instead: 'none',
    changes: [
      {file: placement, find: 'const costPerRankMs = 4;', replace: 'const costPerRankMs = 0;'},
    ],
  },
  {
    name: 'regional shares by reports',
    instead: 'shares by the number of slots alone',
    changes: [
      {
        file: placement,
        find: 'if (regionalShare.isUpdateDue(nowMs)) {',
        replace: 'if (nowMs < 0 && regionalShare.isUpdateDue(nowMs)) {',
      },
    ],
  },
  {
    name: 'regional shares',
    instead: 'all objects near, until their targets are full',
    changes: [
      {
        file: placement,
        find: 'return objectHash / 2 ** 32 < regionalShare.nearFraction(capacity);',
        replace: 'return objectHash / 2 ** 32 < 2 + 0 * regionalShare.nearFraction(capacity);',
      },
    ],
  },
  {
    name: 'slowness of targets',
    instead: 'all targets count as equally fast',
    changes: [
      {
        file: `${gateway}/targets/target_health.ts`,
        find: 'return 1 + (this.lastSlowness - 1) * decay;',
        replace: 'return 1 + 0 * (this.lastSlowness - 1) * decay;',
      },
    ],
  },
  {
    name: 'failure rate of targets',
    instead: 'failures have no cost',
    changes: [
      {
        file: placement,
        find: 'const failureRate = target.health.failureRate(nowMs);',
        replace: 'const failureRate = 0 * target.health.failureRate(nowMs);',
      },
    ],
  },
  {
    name: 'load from reports',
    instead: "the gateway's own requests in flight alone",
    changes: [
      {
        file: `${gateway}/targets/target_load.ts`,
        find: 'return this.ownInFlight + this.otherRequestsAtReport',
        replace: 'return this.ownInFlight + 0 * this.otherRequestsAtReport',
      },
    ],
  },
  {
    name: 'admission by wait',
    instead: 'requests wait up to their deadline',
    changes: [
      {
        file: `${gateway}/admission/admit.ts`,
        find: 'if (input.waitMs <= maxWaitMs) return',
        replace: 'if (input.waitMs <= maxWaitMs + 1e9) return',
      },
    ],
  },
  {
    name: 'admission by rank',
    instead: 'all ranks accept the same wait',
    changes: [
      {
        file: `${gateway}/admission/admit.ts`,
        find: 'const waitFractionLostPerRank = 0.12;',
        replace: 'const waitFractionLostPerRank = 0;',
      },
    ],
  },
  {
    name: 'late hedges',
    instead: 'a second try only after a failure',
    changes: [
      {
        file: `${gateway}/forwarding/hedge_planner.ts`,
        find: 'private chooseLate(): Placement | undefined {',
        replace:
          'private chooseLate(): Placement | undefined {\n    if (this.parts !== undefined) return undefined;',
      },
    ],
  },
  {
    name: 'second tries in time',
    instead: 'late hedges alone',
    changes: [
      {
        file: `${gateway}/forwarding/second_try.ts`,
        find: 'if (!isHeld) return undefined;',
        replace: 'if (!isHeld || waitMs >= 0) return undefined;',
      },
    ],
  },
  {
    name: 'probes at once',
    instead: 'probes with the next regular check',
    changes: [
      {
        file: `${gateway}/targets/target_prober.ts`,
        find: 'parts.suspects.onSuspect(target => this.startDueProbe(target));',
        replace: '',
      },
    ],
  },
  {
    name: 'newest requests first under pressure',
    instead: 'in order of arrival',
    changes: [
      {
        file: `${gateway}/requests/request_queue.ts`,
        find: 'this.entries.splice(isLate ? polledCount - 1 : 0, 1)[0]',
        replace: 'this.entries.splice(isLate ? 0 : 0, 1)[0]',
      },
    ],
  },
];
