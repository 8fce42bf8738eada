/** What a caller has been sent of a streamed answer. Nothing that differs from it may follow. */

export class DeliveredTokens {
  readonly #tokens: string[] = [];
  #mismatch = false;

  /** Takes a token in; returns whether it is to be sent on. */
  accept(index: number, text: string): boolean {
    if (this.#mismatch) return false;
    if (index < this.#tokens.length) {
      this.#mismatch = this.#tokens[index] !== text;
      return false;
    }
    if (index > this.#tokens.length) {
      this.#mismatch = true;
      return false;
    }
    this.#tokens.push(text);
    return true;
  }

  /** Returns the rest of the whole answer, or undefined if what was sent is not its beginning. */
  restOf(content: string): string | undefined {
    const sent = this.#tokens.join("");
    return content.startsWith(sent) ? content.slice(sent.length) : undefined;
  }
}
