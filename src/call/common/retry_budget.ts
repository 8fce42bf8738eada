/** Limits retries to a share of first attempts, so that failures do not multiply the load. */

/** Retries allowed before any first attempt. */
const INITIAL_TOKENS = 10;
const MAX_TOKENS = 100;

export class RetryBudget {
  readonly #share: () => number;
  #tokens = INITIAL_TOKENS;

  constructor(share: () => number) {
    this.#share = share;
  }

  /** Adds the configured share of a retry to the budget. */
  recordFirstAttempt(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + this.#share());
  }

  /** Withdraws one retry from the budget. Returns false if none is left. */
  tryWithdraw(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
