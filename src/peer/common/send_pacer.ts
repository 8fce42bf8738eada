/** Decides whether a periodic message is sent although it may be empty. */

/** Interval between empty messages. */
const IDLE_INTERVAL_MS = 600;

export class SendPacer {
  readonly #now: () => number;
  readonly #idleIntervalMs: number;
  #sentAtMs: number;
  #wasEmpty = true;
  #isForced = false;

  /** No empty messages are sent with an interval of `Infinity`, except one after each that is not. */
  constructor(now: () => number, idleIntervalMs = IDLE_INTERVAL_MS) {
    this.#now = now;
    this.#idleIntervalMs = idleIntervalMs;
    this.#sentAtMs = now() - IDLE_INTERVAL_MS;
  }

  /** Has the next message sent in any case. */
  sendNext(): void {
    this.#isForced = true;
  }

  /** Returns whether to send a message now. */
  takeDue({ isEmpty }: { isEmpty: boolean }): boolean {
    const now = this.#now();
    const isDue = !isEmpty || !this.#wasEmpty || this.#isForced ||
      now - this.#sentAtMs >= this.#idleIntervalMs;
    if (!isDue) return false;
    this.#sentAtMs = now;
    this.#wasEmpty = isEmpty;
    this.#isForced = false;
    return true;
  }
}
