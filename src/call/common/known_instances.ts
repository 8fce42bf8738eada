/** The other instances from which reports arrive here. */

/** Time after its last report at which an instance is forgotten, in ms: several intervals between reports. */
const REPORT_TTL_MS = 10_000;
/** Time for which a report that an instance reaches no server counts, in ms: several intervals between reports. */
const CUT_OFF_TTL_MS = 2000;

interface IInstanceState {
  readonly firstReportAtMs: number;
  readonly lastReportAtMs: number;
}

/**
 * In a small deployment all instances report to this one. Otherwise an aggregator receives the reports of its members
 * and of the other aggregators, and the others receive summaries. Instances are identified by their hosts.
 */
export class KnownInstances {
  readonly #now: () => number;
  readonly #states = new Map<string, IInstanceState>();
  /** Time of the last report that an instance reaches no backend server. */
  readonly #cutOffAtMs = new Map<string, number>();

  constructor(now: () => number) {
    this.#now = now;
  }

  recordReport(host: string, { isCutOff }: { isCutOff: boolean }): void {
    const now = this.#now();
    const firstReportAtMs = this.#states.get(host)?.firstReportAtMs ?? now;
    this.#states.set(host, { firstReportAtMs, lastReportAtMs: now });
    if (isCutOff) this.recordCutOff(host);
    else this.#cutOffAtMs.delete(host);
  }

  /** Records that an instance reaches no backend server, as another one has reported. */
  recordCutOff(host: string): void {
    this.#cutOffAtMs.set(host, this.#now());
  }

  /** Whether an instance has reported lately that it reaches no backend server. */
  isCutOff(host: string): boolean {
    const cutOffAtMs = this.#cutOffAtMs.get(host);
    if (cutOffAtMs === undefined) return false;
    if (cutOffAtMs >= this.#now() - CUT_OFF_TTL_MS) return true;
    this.#cutOffAtMs.delete(host);
    return false;
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
