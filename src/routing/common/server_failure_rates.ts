/** Estimates which share of its requests each backend server fails, from the answers that this instance has received. */
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";

/** Time after which an answer counts for 1/e of a new one, in ms. */
const ANSWER_DECAY_MS = 30_000;
/** Upper bound of the sum of weights; older answers are scaled down, so that a server that has recovered is soon used again. */
const MAX_WEIGHT = 20;
/** Number of failures below which no server is considered failing. */
const MIN_FAILURES = 2.5;
/** Failure rate that is expected of a sound server. */
const EXPECTED_RATE = 0.05;
/** Number of answers for which the expected rate counts in a server's rate. */
const EXPECTED_RATE_WEIGHT = 3;
/** Standard deviations by which the number of failures has to exceed what the rate of the other servers explains. */
const MIN_DEVIATIONS = 4;
/** Share of the other servers that may fail as well without making a failure rate seem usual. */
const REFERENCE_QUANTILE = 0.25;
/** Interval at which a failing server receives a repeatable request to find out whether it has recovered. */
const PROBE_INTERVAL_MS = 2000;
/** Maximum number of server runs; the one without answers for the longest time is evicted first. */
const MAX_SERVERS = 2000;

interface IAnswerCounts {
  /** Decayed number of answers. */
  answers: number;
  /** Decayed number of those that were failures. */
  failures: number;
  /** Time of the last answer, in ms. */
  updatedAtMs: number;
  /** Time at which a request was last sent to the server, in ms. */
  sentAtMs: number;
}

/** Counts the answers of servers and finds those that fail more of them than the others. */
export interface IServerFailureRates {
  /** Records a complete answer, or that one was lost or did not arrive in time. */
  recordAnswer(server: IBackendEntry, answer: { readonly isFailed: boolean }): void;
  /** Records that a request is sent to a server. */
  recordSend(server: IBackendEntry): void;
  /** Returns the failure rates, in (0, 1), of those among the servers that fail clearly more requests than the others. */
  failingAmong(servers: readonly IBackendEntry[]): ReadonlyMap<string, number>;
  /** Whether a failing server should receive a repeatable request, as it has received none for a while. */
  isProbeDue(server: IBackendEntry): boolean;
  remove(server: IBackendEntry): void;
  /** Forgets all answers. */
  clear(): void;
}

/**
 * Expected load pattern: one of several servers fails every second request, also between answers that succeed, while the
 * platform lists it as ready. Servers that all fail the same share, be it 1 % or all, are not told apart. A server that
 * restarts is counted anew, as the requests that were lost with its former run say nothing about the new one.
 */
export class ServerFailureRates implements IServerFailureRates {
  readonly #now: () => number;
  /** By server run, in the order of the last answers. */
  readonly #counts = new Map<string, IAnswerCounts>();

  constructor(now: () => number) {
    this.#now = now;
  }

  recordAnswer(server: IBackendEntry, { isFailed }: { readonly isFailed: boolean }): void {
    const key = keyOf(server);
    const now = this.#now();
    const { sentAtMs } = this.#counts.get(key) ?? { sentAtMs: now };
    const { answers, failures } = this.#decayed(server);
    const scale = Math.min(1, (MAX_WEIGHT - 1) / answers);
    this.#counts.delete(key);
    this.#counts.set(key, {
      answers: answers * scale + 1,
      failures: failures * scale + (isFailed ? 1 : 0),
      updatedAtMs: now,
      sentAtMs,
    });
    const [oldest] = this.#counts.keys();
    if (this.#counts.size > MAX_SERVERS) this.#counts.delete(oldest);
  }

  recordSend(server: IBackendEntry): void {
    const counts = this.#counts.get(keyOf(server));
    if (counts !== undefined) counts.sentAtMs = this.#now();
  }

  failingAmong(servers: readonly IBackendEntry[]): ReadonlyMap<string, number> {
    const failing = new Map<string, number>();
    const counts = servers.map((server) => ({ id: server.id, ...this.#decayed(server) }));
    if (counts.length < 2 || counts.every(({ failures }) => failures < MIN_FAILURES)) return failing;
    const rates = counts.map(rateOf).sort((a, b) => a - b);
    const index = Math.floor((rates.length - 2) * REFERENCE_QUANTILE);
    for (const count of counts) {
      if (count.failures < MIN_FAILURES) continue;
      const rate = rateOf(count);
      const reference = rate > rates[index] ? rates[index] : rates[index + 1];
      if (count.failures > maxUsualFailures(count.answers, reference)) failing.set(count.id, rate);
    }
    return failing;
  }

  isProbeDue(server: IBackendEntry): boolean {
    const sentAtMs = this.#counts.get(keyOf(server))?.sentAtMs ?? -Infinity;
    return this.#now() - sentAtMs >= PROBE_INTERVAL_MS;
  }

  remove(server: IBackendEntry): void {
    this.#counts.delete(keyOf(server));
  }

  clear(): void {
    this.#counts.clear();
  }

  #decayed(server: IBackendEntry): { answers: number; failures: number } {
    const counts = this.#counts.get(keyOf(server));
    if (counts === undefined) return { answers: 0, failures: 0 };
    const decay = Math.exp(-(this.#now() - counts.updatedAtMs) / ANSWER_DECAY_MS);
    return { answers: counts.answers * decay, failures: counts.failures * decay };
  }
}

function keyOf({ id, startedAtMs }: IBackendEntry): string {
  return `${id}@${startedAtMs}`;
}

function rateOf({ answers, failures }: { answers: number; failures: number }): number {
  return (failures + EXPECTED_RATE * EXPECTED_RATE_WEIGHT) / (answers + EXPECTED_RATE_WEIGHT);
}

/** Number of failures among the answers of a server up to which the failure rate of the others explains them. */
function maxUsualFailures(answers: number, reference: number): number {
  const rate = Math.max(EXPECTED_RATE, reference);
  return answers * rate + MIN_DEVIATIONS * Math.sqrt(answers * rate * (1 - rate));
}
