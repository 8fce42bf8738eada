/** Unbounded queue between a producer that pushes values and one asynchronous iterator. */

export class AsyncQueue<T> implements AsyncIterable<T> {
  readonly #values: T[] = [];
  #hasEnded = false;
  #resumeIterator: () => void = () => {};

  push(value: T): void {
    if (this.#hasEnded) return;
    this.#values.push(value);
    this.#resumeIterator();
  }

  /** Ends the iteration after the values pushed so far, followed by `last` if given. */
  end(last?: T): void {
    if (last !== undefined) this.push(last);
    this.#hasEnded = true;
    this.#resumeIterator();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<T> {
    while (true) {
      while (this.#values.length > 0) yield this.#values.shift()!;
      if (this.#hasEnded) return;
      await new Promise<void>((resolve) => {
        this.#resumeIterator = resolve;
      });
    }
  }
}
