/** What a workspace's quota counts. */
export const QuotaUnit = {
  /** Prompt tokens and the greatest number of output tokens of each request. */
  tokens: 'tokens',
  requests: 'requests',
} as const;

export type QuotaUnit = (typeof QuotaUnit)[keyof typeof QuotaUnit];
