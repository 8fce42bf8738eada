/** The other instances from which reports arrive here. */

/** Time after its last report at which an instance is forgotten, in ms: several intervals between reports. */
const REPORT_TTL_MS = 10_000;
/** Time for which a report that an instance reaches no server counts, in ms: several intervals between reports. */
const CUT_OFF_TTL_MS = 2000;

interface IInstanceState {
  readonly firstReportAtMs: number;
  lastReportAtMs: number;
  /** Time of the last report that the instance reaches no backend server. */
  cutOffAtMs: number;
}

/**
 * Owners of slices receive the reports of all busy instances; the others receive none, and ask an owner.
 * Instances are identified by their hosts.
 */
export class KnownInstances {
  readonly #now: () => number;
  readonly #states = new Map<string, IInstanceState>();

  constructor(now: () => number) {
    this.#now = now;
  }

  recordReport(host: string, { isCutOff }: { isCutOff: boolean }): void {
    const now = this.#now();
    const firstReportAtMs = this.#states.get(host)?.firstReportAtMs ?? now;
    const cutOffAtMs = isCutOff ? now : -Infinity;
    this.#states.set(host, { firstReportAtMs, lastReportAtMs: now, cutOffAtMs });
  }

  /** Whether an instance has reported lately that it reaches no backend server. */
  isCutOff(host: string): boolean {
    return (this.#states.get(host)?.cutOffAtMs ?? -Infinity) >= this.#now() - CUT_OFF_TTL_MS;
  }

  /** Hosts of all instances that have reported lately. */
  list(): string[] {
    const oldestMs = this.#now() - REPORT_TTL_MS;
    for (const [host, { lastReportAtMs }] of this.#states) {
      if (lastReportAtMs < oldestMs) this.#states.delete(host);
    }
    return [...this.#states.keys()];
  }

  /** Whether the first report of an instance arrived within the given time. */
  isNew(host: string, withinMs: number): boolean {
    return (this.#states.get(host)?.firstReportAtMs ?? -Infinity) >= this.#now() - withinMs;
  }
}
