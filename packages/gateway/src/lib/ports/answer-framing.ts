/** How an HTTP answer marks the end of its body. */
export const AnswerFraming = {
  /** The head gives the length. */
  length: 'length',
  /** A last chunk ends the body (chunked encoding). */
  chunks: 'chunks',
  /** The body ends when the connection closes. */
  connection: 'connection',
} as const;

export type AnswerFraming = (typeof AnswerFraming)[keyof typeof AnswerFraming];
