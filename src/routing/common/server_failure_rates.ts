/** Estimates which share of its requests each backend server fails, from the answers that all instances have received. */
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type { IServerRun } from "../../services/backends/common/leaving_servers.ts";

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
/** Decayed number of failures below which the answers of a server are not reported. */
const MIN_REPORTED_FAILURES = 0.5;

interface IAnswerCounts {
  /** Decayed number of answers. */
  answers: number;
  /** Decayed number of those that were failures. */
  failures: number;
  /** Time of the last answer, in ms. */
  updatedAtMs: number;
  /** Time at which a request was last sent to the server, in ms. */
  sentAtMs: number;
  /** Answers to this instance since the last report, and those of them that were failures. */
  unreported: { readonly answers: number; readonly failures: number };
}

/** Answers of a server run to some instances. */
export interface IServerAnswers {
  readonly run: IServerRun;
  readonly answers: number;
  /** Those of them that were failures. */
  readonly failures: number;
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
  /** Returns the answers since the last call of servers that have failed requests lately, to be reported to other instances. */
  takeUnreported(): IServerAnswers[];
  /** Records what other instances have reported. */
  recordReported(reported: readonly IServerAnswers[]): void;
  remove(server: IBackendEntry): void;
  /** Forgets all answers. */
  clear(): void;
}

/**
 * Expected load pattern: one of several servers fails every second request, also between answers that succeed, while the
 * platform lists it as ready. Servers that all fail the same share, be it 1 % or all, are not told apart. A server that
 * restarts is counted anew, as the requests that were lost with its former run say nothing about the new one. Hundreds of
 * instances share the servers, so that each would have to fail several requests of its own before it knows.
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
    const { sentAtMs, unreported } = this.#counts.get(key) ?? { sentAtMs: now, unreported: NO_ANSWERS };
    const failures = isFailed ? 1 : 0;
    this.#add(key, {
      answers: 1,
      failures,
      sentAtMs,
      unreported: addWithin(unreported, { answers: 1, failures }),
    });
  }

  takeUnreported(): IServerAnswers[] {
    const now = this.#now();
    const taken: IServerAnswers[] = [];
    for (const [key, counts] of this.#counts) {
      const { answers, failures } = counts.unreported;
      const isSuspect = decay(counts, now).failures >= MIN_REPORTED_FAILURES;
      if (!isSuspect || Math.round(answers) === 0) continue;
      taken.push({ run: runOf(key), answers: Math.round(answers), failures: Math.round(failures) });
      counts.unreported = NO_ANSWERS;
    }
    return taken;
  }

  recordReported(reported: readonly IServerAnswers[]): void {
    const now = this.#now();
    for (const { run: { backendId: id, startedAtMs }, answers, failures } of reported) {
      if (answers === 0) continue;
      const key = keyOf({ id, startedAtMs });
      const unreported = this.#counts.get(key)?.unreported ?? NO_ANSWERS;
      // Another instance's request shows as well as one of this instance whether the server has recovered.
      this.#add(key, { answers, failures, sentAtMs: now, unreported });
    }
  }

  #add(
    key: string,
    { answers, failures, sentAtMs, unreported }: Omit<IAnswerCounts, "updatedAtMs">,
  ): void {
    const now = this.#now();
    const known = this.#counts.get(key);
    const sum = addWithin(known === undefined ? NO_ANSWERS : decay(known, now), { answers, failures });
    this.#counts.delete(key);
    this.#counts.set(key, { ...sum, updatedAtMs: now, sentAtMs, unreported });
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
    return counts === undefined ? NO_ANSWERS : decay(counts, this.#now());
  }
}

const NO_ANSWERS = { answers: 0, failures: 0 };

function decay({ answers, failures, updatedAtMs }: IAnswerCounts, now: number) {
  const factor = Math.exp(-(now - updatedAtMs) / ANSWER_DECAY_MS);
  return { answers: answers * factor, failures: failures * factor };
}

/** Adds newer answers; the older ones are scaled down to stay within {@link MAX_WEIGHT}, then all of them. */
function addWithin(older: typeof NO_ANSWERS, newer: typeof NO_ANSWERS): typeof NO_ANSWERS {
  const newerScale = Math.min(1, MAX_WEIGHT / newer.answers);
  const room = MAX_WEIGHT - newer.answers * newerScale;
  const olderScale = older.answers === 0 ? 0 : Math.min(1, room / older.answers);
  return {
    answers: older.answers * olderScale + newer.answers * newerScale,
    failures: older.failures * olderScale + newer.failures * newerScale,
  };
}

function keyOf({ id, startedAtMs }: Pick<IBackendEntry, "id" | "startedAtMs">): string {
  return `${id}@${startedAtMs}`;
}

function runOf(key: string): IServerRun {
  const at = key.lastIndexOf("@");
  return { backendId: key.slice(0, at), startedAtMs: Number(key.slice(at + 1)) };
}

function rateOf({ answers, failures }: { answers: number; failures: number }): number {
  return (failures + EXPECTED_RATE * EXPECTED_RATE_WEIGHT) / (answers + EXPECTED_RATE_WEIGHT);
}

/** Number of failures among the answers of a server up to which the failure rate of the others explains them. */
function maxUsualFailures(answers: number, reference: number): number {
  const rate = Math.max(EXPECTED_RATE, reference);
  return answers * rate + MIN_DEVIATIONS * Math.sqrt(answers * rate * (1 - rate));
}
