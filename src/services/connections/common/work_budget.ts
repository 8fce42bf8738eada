/**
 * Limits the processor time for bodies that arrive in tiny pieces: each piece costs about the same however short it is. Answers
 * crowds of such bodies, which would keep the event loop from all other connections.
 */

const MS_PER_S = 1000;

export interface IWorkBudgetOptions {
  /** Pieces that are read per second on the mean. */
  readonly piecesPerS: number;
  /** Time for which the pieces that have been read may exceed that, in ms. */
  readonly maxDebtMs: number;
  /** Time in ms. */
  readonly now: () => number;
}

export class WorkBudget {
  readonly #opts: IWorkBudgetOptions;
  /** Time at which the pieces that have been read are worked off. */
  #clearAtMs = 0;

  constructor(opts: IWorkBudgetOptions) {
    this.#opts = opts;
  }

  /** Time until the pieces that have been read are worked off, in ms. */
  get debtMs(): number {
    return Math.max(0, this.#clearAtMs - this.#opts.now());
  }

  /** Whether clients must give way, since pausing them no longer suffices. */
  get isExceeded(): boolean {
    return this.debtMs > this.#opts.maxDebtMs;
  }

  /** Records pieces that have been read. Their client should not be read for {@link debtMs}. */
  spend(pieces: number): void {
    const { now, piecesPerS } = this.#opts;
    this.#clearAtMs = Math.max(this.#clearAtMs, now()) + pieces * MS_PER_S / piecesPerS;
  }
}
