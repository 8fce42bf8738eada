/** The instances that have reported that they reach no backend server. */

/** Time after which a report no longer counts, in ms: several intervals between reports. */
const REPORT_TTL_MS = 2000;

export class CutOffPeers {
  readonly #now: () => number;
  /** Time of the last such report, by host. */
  readonly #reportedAtMs = new Map<string, number>();

  constructor(now: () => number) {
    this.#now = now;
  }

  record(host: string, isCutOff: boolean): void {
    if (isCutOff) this.#reportedAtMs.set(host, this.#now());
    else this.#reportedAtMs.delete(host);
  }

  has(host: string): boolean {
    const atMs = this.#reportedAtMs.get(host);
    return atMs !== undefined && atMs >= this.#now() - REPORT_TTL_MS;
  }
}
