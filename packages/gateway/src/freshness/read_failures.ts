/** Reports linearizable reads that fail: the first of a series, and the end of the series. */

/** A series of failed reads of one kind, as written to the log. */
export type ReadReport =
  | {readonly event: 'read-failed'; readonly kind: string; readonly reason: string}
  | {readonly event: 'read-again'; readonly kind: string; readonly failureCount: number};

/** The reads of one kind. */
export class ReadFailures {
  private failureCount = 0;

  constructor(
    private readonly kind: string,
    private readonly report: (report: ReadReport) => void,
  ) {}

  onFailure(reason: string): void {
    const {kind} = this;
    this.failureCount += 1;
    if (this.failureCount === 1) this.report({event: 'read-failed', kind, reason});
  }

  onSuccess(): void {
    const {kind, failureCount} = this;
    this.failureCount = 0;
    if (failureCount > 0) this.report({event: 'read-again', kind, failureCount});
  }
}
