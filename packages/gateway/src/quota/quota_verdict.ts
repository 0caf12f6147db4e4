/** The verdict on one request. */

/** Whether a request is within its workspace's quota. */
export type QuotaVerdict =
  {readonly kind: 'within'} | {readonly kind: 'exceeded'; readonly retryAfterMs: number};
