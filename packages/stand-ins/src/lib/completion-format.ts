/** The bodies of OpenAI's completion answers. */
export class CompletionFormat {
  readonly #model: string;
  readonly #isChat: boolean;

  constructor(model: string, isChat: boolean) {
    this.#model = model;
    this.#isChat = isChat;
  }

  chunk(text: string): string {
    const choice = this.#isChat
      ? { index: 0, delta: { role: 'assistant', content: text }, finish_reason: null }
      : { index: 0, text, finish_reason: null };
    return this.#event(choice);
  }

  lastChunks(): string {
    const choice = this.#isChat
      ? { index: 0, delta: {}, finish_reason: 'stop' }
      : { index: 0, text: '', finish_reason: 'stop' };
    return `${this.#event(choice)}data: [DONE]\n\n`;
  }

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
