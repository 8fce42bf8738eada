/** Selects the aggregator that a member reports to. */
import type { ILogger } from "../../services/logging/common/logger.ts";

/** Time without a summary after which a member reports to the next aggregator. */
const SILENCE_MS = 700;
/** The same while there is nothing to report and summaries are rarer. */
const IDLE_SILENCE_MS = 1400;
/** Interval at which a member tries whether the first aggregator of its order responds again. */
const PROBE_INTERVAL_MS = 3000;

interface IHeard {
  readonly atMs: number;
  /** Time after which the aggregator counts as silent. */
  readonly silenceMs: number;
}

/**
 * Selects the first aggregator of the member's order that is heard. Designed for the loss of an aggregator, whose members
 * spread over the others without agreement, and return when it does.
 */
export class AggregatorSelector {
  readonly #logger: ILogger;
  readonly #now: () => number;
  readonly #heard = new Map<string, IHeard>();
  #order: readonly string[] = [];
  #current = "";
  #selectedAtMs = 0;
  #probedAtMs = 0;

  constructor(logger: ILogger, now: () => number) {
    this.#logger = logger;
    this.#now = now;
  }

  /** Replaces the aggregators, in the member's order. */
  setOrder(order: readonly string[]): void {
    this.#order = order;
    for (const host of this.#heard.keys()) if (!order.includes(host)) this.#heard.delete(host);
  }

  recordSummary(host: string, { isEmpty }: { isEmpty: boolean }): void {
    if (!this.#order.includes(host)) return;
    this.#heard.set(host, { atMs: this.#now(), silenceMs: isEmpty ? IDLE_SILENCE_MS : SILENCE_MS });
  }

  /** Host of the aggregator to report to now; undefined if there is none. */
  select(): string | undefined {
    if (this.#order.length === 0) return undefined;
    const next = this.#order.find((host) => this.#isHeard(host)) ?? this.#unheard();
    if (next !== this.#current) this.#move(next);
    return next;
  }

  /** Host of the member's first aggregator if it is due to be tried again. */
  takeProbe(): string | undefined {
    const [first] = this.#order;
    const now = this.#now();
    if (first === this.#current || now - this.#probedAtMs < PROBE_INTERVAL_MS) return undefined;
    this.#probedAtMs = now;
    return first;
  }

  #isHeard(host: string): boolean {
    const heard = this.#heard.get(host);
    return heard !== undefined && this.#now() - heard.atMs < heard.silenceMs;
  }

  /** Selects an aggregator while none is heard: each is given time to respond. */
  #unheard(): string {
    const index = this.#order.indexOf(this.#current);
    if (index < 0) return this.#order[0];
    const isWaiting = !this.#heard.has(this.#current) && this.#now() - this.#selectedAtMs < SILENCE_MS;
    return isWaiting ? this.#current : this.#order[(index + 1) % this.#order.length];
  }

  #move(next: string): void {
    const now = this.#now();
    const silentMs = now - (this.#heard.get(this.#current)?.atMs ?? this.#selectedAtMs);
    this.#logger.info("report-aggregator", {
      aggregator: next,
      former: this.#current,
      formerSilentMs: this.#current === "" ? undefined : silentMs,
      rank: this.#order.indexOf(next),
    });
    this.#heard.delete(this.#current);
    this.#current = next;
    this.#selectedAtMs = now;
    this.#probedAtMs = now;
  }
}
