/** How the end of an answer's body is known. */
export const AnswerFraming = {
  /** Its length is given ahead. */
  length: 'length',
  /** The last of its chunks says so. */
  chunks: 'chunks',
  /** It ends with its connection. */
  connection: 'connection',
} as const;

export type AnswerFraming = (typeof AnswerFraming)[keyof typeof AnswerFraming];
