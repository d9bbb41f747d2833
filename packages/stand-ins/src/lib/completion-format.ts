/** Writes answers in OpenAI's formats for chat completions and text completions. */
export class CompletionFormat {
  readonly #model: string;
  readonly #isChat: boolean;

  /**
   * @param model - name of the model, repeated in each answer
   * @param isChat - whether the answer is a chat completion
   */
  constructor(model: string, isChat: boolean) {
    this.#model = model;
    this.#isChat = isChat;
  }

  /**
   * @param text - the next token
   * @returns the event that carries it in a stream
   */
  chunk(text: string): string {
    const choice = this.#isChat
      ? { index: 0, delta: { role: 'assistant', content: text }, finish_reason: null }
      : { index: 0, text, finish_reason: null };
    return this.#event(choice);
  }

  /** @returns the two events that end a stream */
  lastChunks(): string {
    const choice = this.#isChat
      ? { index: 0, delta: {}, finish_reason: 'stop' }
      : { index: 0, text: '', finish_reason: 'stop' };
    return `${this.#event(choice)}data: [DONE]\n\n`;
  }

  /**
   * @param text - all tokens
   * @returns the body of an answer that is not streamed
   */
  whole(text: string): unknown {
    const choice = this.#isChat
      ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
      : { index: 0, text, finish_reason: 'stop' };
    return { ...this.#envelope(''), choices: [choice] };
  }

  #event(choice: unknown): string {
    return `data: ${JSON.stringify({ ...this.#envelope('.chunk'), choices: [choice] })}\n\n`;
  }

  #envelope(suffix: string): Record<string, unknown> {
    const object = this.#isChat ? `chat.completion${suffix}` : 'text_completion';
    return { id: 'stand-in', object, created: 0, model: this.#model };
  }
}
