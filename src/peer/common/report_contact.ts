/** Determines since when an instance has received the reports of the others without a gap. */

/**
 * Time after a report with loads, and after one without, from which the next one is overdue, in ms: several times the interval of
 * such reports, so that a lost datagram does not count.
 */
const OVERDUE_MS = 500;
const IDLE_OVERDUE_MS = 1500;
/** Time without a report after which an instance is taken to be gone, in ms. */
const FORGET_MS = 10_000;

interface IReporter {
  readonly heardAtMs: number;
  readonly overdueAtMs: number;
}

/**
 * Expected load pattern: an instance is cut off from the others or stands still for seconds, and then serves callers whose
 * requests others have begun meanwhile. The reports of most others are overdue then, while a lost instance misses alone.
 */
export class ReportContact {
  readonly #now: () => number;
  readonly #reporters = new Map<string, IReporter>();
  #sinceMs = -Infinity;

  constructor(now: () => number) {
    this.#now = now;
  }

  /** Records a report of another instance that tells this one all that it begins. */
  record(host: string, { isIdle }: { isIdle: boolean }): void {
    const now = this.#now();
    this.#update(now);
    const overdueAtMs = now + (isIdle ? IDLE_OVERDUE_MS : OVERDUE_MS);
    this.#reporters.set(host, { heardAtMs: now, overdueAtMs });
    this.#update(now);
  }

  /**
   * Unix time in ms from which most other instances have been heard without a gap: `Infinity` while they are not, `-Infinity` if
   * that has always been so.
   */
  get sinceMs(): number {
    this.#update(this.#now());
    return this.#sinceMs;
  }

  #update(now: number): void {
    let overdue = 0;
    for (const [host, { heardAtMs, overdueAtMs }] of this.#reporters) {
      if (now - heardAtMs > FORGET_MS) this.#reporters.delete(host);
      else if (now > overdueAtMs) overdue += 1;
    }
    if (overdue > this.#reporters.size / 2) this.#sinceMs = Infinity;
    else if (this.#sinceMs === Infinity && this.#reporters.size > 0) this.#sinceMs = now;
  }
}
