/**
 * Requests during whose execution backend servers crashed. A strike is one such crash. A request with strikes
 * from two different crashes stays quarantined. A request that completes before that is cleared.
 */
import type { StrikeRecorded } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";

/** Number of crashes after which a request is quarantined. */
export const STRIKES_TO_QUARANTINE = 2;

export class StrikeTable {
  readonly #crashes = new Map<bigint, Set<string>>();

  /** Records a strike. Returns false if the crash is already counted. */
  add(
    { fingerprint, backendId, bootId }: Pick<StrikeRecorded, "fingerprint" | "backendId" | "bootId">,
  ): boolean {
    const crashes = this.#crashes.get(fingerprint) ?? new Set();
    const crash = `${backendId}/${bootId}`;
    if (crashes.has(crash)) return false;
    crashes.add(crash);
    this.#crashes.set(fingerprint, crashes);
    return true;
  }

  /** Clears the strikes of a request that completed. Has no effect on a quarantined request. */
  clear(fingerprint: bigint): boolean {
    if (this.isQuarantined(fingerprint)) return false;
    return this.#crashes.delete(fingerprint);
  }

  /** Whether a backend server has crashed while it ran the request. */
  isSuspect(fingerprint: bigint): boolean {
    return this.#crashes.has(fingerprint);
  }

  isQuarantined(fingerprint: bigint): boolean {
    return (this.#crashes.get(fingerprint)?.size ?? 0) >= STRIKES_TO_QUARANTINE;
  }

  get quarantinedCount(): number {
    return [...this.#crashes.values()].filter((crashes) => crashes.size >= STRIKES_TO_QUARANTINE).length;
  }
}
