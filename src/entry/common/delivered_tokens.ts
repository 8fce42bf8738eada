/**
 * Tokens of a streamed answer that have been delivered to the caller. After a retry the stream
 * restarts at the first token; only a continuation of the delivered tokens may be sent.
 */

export class DeliveredTokens {
  readonly #tokens: string[] = [];
  #hasMismatch = false;

  /** Records a token; returns whether it is new and must be sent. */
  accept(index: number, text: string): boolean {
    if (this.#hasMismatch) return false;
    if (index < this.#tokens.length) {
      this.#hasMismatch = this.#tokens[index] !== text;
      return false;
    }
    if (index > this.#tokens.length) {
      this.#hasMismatch = true;
      return false;
    }
    this.#tokens.push(text);
    return true;
  }

  /** Returns the undelivered part of the answer, or undefined if the delivered tokens are not its prefix. */
  remainderOf(content: string): string | undefined {
    const delivered = this.#tokens.join("");
    return content.startsWith(delivered) ? content.slice(delivered.length) : undefined;
  }
}
