/**
 * Settles a doubt whether the gateway still reaches targets, by opening and closing connections to a few that have not
 * failed, in different failure domains. While the gateway is isolated, it repeats that with others.
 */
import type {GatewayParts} from '../gateway_parts';
import type {Target} from './target';
import {shuffle} from '../peers/shuffle';

/** Number of targets that one check tries. */
const targetsPerCheck = 4;
/** A gateway that knows fewer targets cannot tell its own failure from theirs. */
const minKnownTargets = 2;
/** A target that accepts no connection within this time beyond the round trip is not reached. */
const connectMarginMs = 400;

/** Interval of the checks while the gateway is isolated. */
const isolatedCheckIntervalMs = 500;

/** Checks connectivity to targets. */
export class PathChecker {
  private isChecking = false;
  private startedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: GatewayParts) {
    parts.paths.onChange(state => {
      if (state === 'doubtful') this.startDueCheck();
    });
  }

  /** Starts a check when one is due. Called regularly, and when a doubt arises. */
  startDueCheck(): void {
    const {paths, time} = this.parts;
    paths.review();
    if (this.isChecking || paths.state === 'connected') return;
    const nowMs = time.monotonicMs();
    if (paths.isIsolated && nowMs - this.startedAtMs < isolatedCheckIntervalMs) return;
    this.startedAtMs = nowMs;
    const targets = this.chooseTargets();
    if (targets === undefined) paths.recordSuccess();
    else void this.check(targets);
  }

  private async check(targets: readonly Target[]): Promise<void> {
    this.isChecking = true;
    const results = await Promise.all(targets.map(target => this.reaches(target)));
    this.isChecking = false;
    if (!results.includes(true)) this.parts.paths.recordFailedCheck();
  }

  /** Targets in different failure domains, those that have not failed first; undefined when too few are known. */
  private chooseTargets(): readonly Target[] | undefined {
    const known = [...this.parts.targets.all()].filter(({isAssignable}) => isAssignable);
    if (known.length < minKnownTargets) return undefined;
    const {paths} = this.parts;
    const shuffled = shuffle(known, Math.random);
    const ordered = [
      ...shuffled.filter(({id}) => !paths.hasFailed(id)),
      ...shuffled.filter(({id}) => paths.hasFailed(id)),
    ];
    const firstOfDomain = new Map<string, Target>();
    for (const target of ordered) {
      if (!firstOfDomain.has(target.failureDomain)) firstOfDomain.set(target.failureDomain, target);
    }
    const first = [...firstOfDomain.values()];
    const others = ordered.filter(target => !first.includes(target));
    return [...first, ...others].slice(0, targetsPerCheck);
  }

  private reaches({address, failureDomain}: Target): Promise<boolean> {
    const {dial, paths, roundTripTimes} = this.parts;
    return new Promise(resolve => {
      const socket = dial({host: address.host, port: address.port});
      const end = (isReached: boolean) => {
        clearTimeout(timer);
        socket.destroy();
        resolve(isReached);
      };
      const timeoutMs = connectMarginMs + roundTripTimes.expectedMs(failureDomain);
      const timer = setTimeout(() => end(false), timeoutMs);
      socket.once('error', () => end(false));
      socket.once('connect', () => {
        // At once, and not when all connections are settled, because some may hang.
        paths.recordSuccess();
        end(true);
      });
    });
  }
}
