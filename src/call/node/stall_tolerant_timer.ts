/** A time limit for something that arrives on a connection. */

/** After a stall of the event loop, timers run before the events that arrived in time. This one runs after them. */
export class StallTolerantTimer {
  readonly #timer: NodeJS.Timeout;
  #check: NodeJS.Immediate | undefined;

  constructor(onTimeout: () => void, timeoutMs: number) {
    this.#timer = setTimeout(() => this.#check = setImmediate(onTimeout), timeoutMs);
  }

  clear(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#check);
  }
}
