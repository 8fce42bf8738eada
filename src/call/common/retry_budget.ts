/** Retries as a share of first attempts, so that failures do not multiply the load. */

/** Retries that are allowed before any traffic has been seen. */
const INITIAL_TOKENS = 10;
const MAX_TOKENS = 100;

export class RetryBudget {
  readonly #share: () => number;
  #tokens = INITIAL_TOKENS;

  constructor(share: () => number) {
    this.#share = share;
  }

  /** A first attempt earns its share of a retry. */
  noteFirstAttempt(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + this.#share());
  }

  /** Takes one retry; returns false when there is none left. */
  tryTake(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
