import {TargetHealth} from '../src/target_health';

describe('TargetHealth', () => {
  /** Guards against work for a target whose process is gone. */
  test('a lost connection makes it suspect until a probe connects', () => {
    const health = new TargetHealth();
    health.markSuspect(1_000);
    expect(health.reachability).toBe('suspect');
    expect(health.isProbeDue(1_000)).toBe(true);
    health.onProbeStart(1_000);
    expect(health.isProbeDue(1_100)).toBe(false);
    expect(health.onProbeConnected()).toBe(false);
    expect(health.reachability).toBe('reachable');
  });

  test('a target that was down counts as restarted when it returns', () => {
    const health = new TargetHealth();
    health.onConnectFailure(0);
    expect(health.reachability).toBe('unreachable');
    expect(health.onProbeConnected()).toBe(true);
  });

  test('probes of a target that stays down are spaced further and further, up to two seconds', () => {
    const health = new TargetHealth();
    const delaysMs: number[] = [];
    let nowMs = 0;
    for (let probe = 0; probe < 6; probe += 1) {
      health.onConnectFailure(nowMs);
      const failedAtMs = nowMs;
      while (!health.isProbeDue(nowMs)) nowMs += 10;
      delaysMs.push(nowMs - failedAtMs);
    }
    expect(delaysMs).toEqual([250, 500, 1_000, 2_000, 2_000, 2_000]);
  });

  /** Guards against a target that keeps its bad name for ever and so never gets work back. */
  test('failures and slowness fade', () => {
    const health = new TargetHealth();
    for (let answer = 0; answer < 5; answer += 1) {
      health.onAnswer(0, 6);
      health.onFailure(0);
    }
    expect(health.failureRate(0)).toBeGreaterThan(0.3);
    expect(health.slowness(0)).toBeGreaterThan(3);
    expect(health.failureRate(15_000)).toBeLessThan(0.01);
    expect(health.slowness(30_000)).toBeLessThan(1.01);
  });

  test('a request that was given up counts only when it took longer than is known', () => {
    const health = new TargetHealth();
    health.onCancel(0, 4);
    const slow = health.slowness(0);
    health.onCancel(0, 1.2);
    expect(slow).toBeGreaterThan(1.5);
    expect(health.slowness(0)).toBe(slow);
  });
});
