/** Passes on that a target has become suspect, so that it is probed at once and not only with the next regular check. */
import type {Target} from './target';

/** Connects those who notice that a target is suspect with the prober. */
export class SuspectTargets {
  private listener: (target: Target) => void = () => undefined;

  /** Sets the function that is called with each target that has become suspect. */
  onSuspect(listener: (target: Target) => void): void {
    this.listener = listener;
  }

  /** Reports a target after a lost connection or an exceeded timeout. */
  report(target: Target): void {
    this.listener(target);
  }
}
