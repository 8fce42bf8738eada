/** Values that one side pushes and another iterates over. */

export class AsyncQueue<T> implements AsyncIterable<T> {
  readonly #values: T[] = [];
  #hasEnded = false;
  #wake: () => void = () => {};

  push(value: T): void {
    if (this.#hasEnded) return;
    this.#values.push(value);
    this.#wake();
  }

  /** Ends the iteration after the values so far and, if given, a last one. */
  end(last?: T): void {
    if (last !== undefined) this.push(last);
    this.#hasEnded = true;
    this.#wake();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    while (true) {
      while (this.#values.length > 0) yield this.#values.shift()!;
      if (this.#hasEnded) return;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }
}
