/** Events in the reports between instances: collected here, passed on by aggregators. */
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { serverKey, strikeKey } from "../../call/common/strike_ledger.ts";

/** Time within which the same event is not passed on again, in ms: several instances may report it. */
const REPEAT_INTERVAL_MS = 100;

/** The part of a report that is passed on unchanged. */
export type ReportEvents = Pick<
  LoadDigest,
  "strikeChanges" | "prefixes" | "streams" | "leaving" | "limits" | "latencySamples" | "serverAnswers"
>;

/** Maximum number of events of each kind in a message, which together stay below 60 KB. */
const MAX_EVENTS: Readonly<Record<keyof ReportEvents, number>> = {
  strikeChanges: 80,
  prefixes: 96,
  streams: 128,
  leaving: 64,
  limits: 96,
  latencySamples: 256,
  serverAnswers: 64,
};

/** Combines events for one message; the newest of each kind are kept. */
export function joinEvents(older: ReportEvents, newer: ReportEvents): ReportEvents {
  return {
    strikeChanges: [...older.strikeChanges, ...newer.strikeChanges].slice(-MAX_EVENTS.strikeChanges),
    prefixes: [...older.prefixes, ...newer.prefixes].slice(-MAX_EVENTS.prefixes),
    streams: [...older.streams, ...newer.streams].slice(-MAX_EVENTS.streams),
    leaving: [...older.leaving, ...newer.leaving].slice(-MAX_EVENTS.leaving),
    limits: [...older.limits, ...newer.limits].slice(-MAX_EVENTS.limits),
    latencySamples: [...older.latencySamples, ...newer.latencySamples].slice(-MAX_EVENTS.latencySamples),
    serverAnswers: [...older.serverAnswers, ...newer.serverAnswers].slice(-MAX_EVENTS.serverAnswers),
  };
}

export function countEvents(events: ReportEvents): number {
  return events.strikeChanges.length + events.prefixes.length + events.streams.length +
    events.leaving.length + events.limits.length + events.latencySamples.length +
    events.serverAnswers.length;
}

/** Events of one kind that wait to be passed on. */
class EventQueue<T> {
  readonly #max: number;
  readonly #keyOf: (event: T) => string;
  readonly #waiting = new Map<string, { readonly event: T; readonly atMs: number }>();
  readonly #passedAtMs = new Map<string, number>();

  constructor(max: number, keyOf: (event: T) => string) {
    this.#max = max;
    this.#keyOf = keyOf;
  }

  add(events: readonly T[], now: number): void {
    for (const event of events) {
      const key = this.#keyOf(event);
      this.#waiting.delete(key);
      this.#waiting.set(key, { event, atMs: now });
    }
    for (const key of this.#waiting.keys()) {
      if (this.#waiting.size <= this.#max) return;
      this.#waiting.delete(key);
    }
  }

  /** Returns the events and the times at which they were added; those that were returned a moment ago wait for the next call. */
  take(now: number): { readonly event: T; readonly atMs: number }[] {
    for (const [key, atMs] of this.#passedAtMs) {
      if (now - atMs < REPEAT_INTERVAL_MS) break;
      this.#passedAtMs.delete(key);
    }
    const due = [...this.#waiting].filter(([key]) => !this.#passedAtMs.has(key));
    for (const [key] of due) {
      this.#waiting.delete(key);
      this.#passedAtMs.set(key, now);
    }
    return due.map(([, waiting]) => waiting);
  }
}

/** Sums of the answers that wait to be passed on, by server run. */
class AnswerSums {
  readonly #sums = new Map<string, ReportEvents["serverAnswers"][number]>();

  add(reported: ReportEvents["serverAnswers"]): void {
    for (const entry of reported) {
      if (entry.run === undefined) continue;
      const key = serverKey(entry.run);
      const sum = this.#sums.get(key);
      this.#sums.set(
        key,
        sum === undefined
          ? entry
          : { ...sum, answers: sum.answers + entry.answers, failures: sum.failures + entry.failures },
      );
    }
  }

  take(): ReportEvents["serverAnswers"] {
    const sums = [...this.#sums.values()].slice(-MAX_EVENTS.serverAnswers);
    this.#sums.clear();
    return sums;
  }
}

/** Events of other instances that an aggregator passes on to some recipients, each repetition once. */
export class EventRelay {
  readonly #now: () => number;
  #sampleCount = 0;
  readonly #strikeChanges = new EventQueue<ReportEvents["strikeChanges"][number]>(
    MAX_EVENTS.strikeChanges,
    ({ strike, isPending, isWithdrawn }) =>
      strike === undefined ? "" : `${strikeKey(strike)} ${isPending} ${isWithdrawn}`,
  );
  readonly #prefixes = new EventQueue<ReportEvents["prefixes"][number]>(
    MAX_EVENTS.prefixes,
    ({ backendId, partId }) => `${backendId} ${partId}`,
  );
  readonly #streams = new EventQueue<ReportEvents["streams"][number]>(
    MAX_EVENTS.streams,
    ({ attemptId }) => attemptId,
  );
  readonly #leaving = new EventQueue<ReportEvents["leaving"][number]>(MAX_EVENTS.leaving, serverKey);
  readonly #limits = new EventQueue<ReportEvents["limits"][number]>(
    MAX_EVENTS.limits,
    ({ run, perSecond }) => run === undefined ? "" : `${serverKey(run)} ${perSecond}`,
  );
  readonly #latencySamples = new EventQueue<ReportEvents["latencySamples"][number]>(
    MAX_EVENTS.latencySamples,
    () => String(++this.#sampleCount),
  );

  readonly #serverAnswers = new AnswerSums();

  constructor(now: () => number) {
    this.#now = now;
  }

  add(events: ReportEvents): void {
    const now = this.#now();
    this.#strikeChanges.add(events.strikeChanges, now);
    this.#prefixes.add(events.prefixes, now);
    this.#streams.add(events.streams, now);
    this.#leaving.add(events.leaving, now);
    this.#limits.add(events.limits, now);
    this.#latencySamples.add(events.latencySamples, now);
    this.#serverAnswers.add(events.serverAnswers);
  }

  take(): ReportEvents {
    const now = this.#now();
    return {
      strikeChanges: this.#strikeChanges.take(now).map(({ event }) => event),
      prefixes: this.#prefixes.take(now).map(({ event }) => event),
      streams: this.takeStreams(),
      leaving: this.#leaving.take(now).map(({ event }) => event),
      limits: this.#limits.take(now).map(({ event, atMs }) => ({
        ...event,
        ageMs: event.ageMs + now - atMs,
      })),
      latencySamples: this.#latencySamples.take(now).map(({ event }) => event),
      serverAnswers: this.#serverAnswers.take(),
    };
  }

  takeStreams(): ReportEvents["streams"] {
    return this.#streams.take(this.#now()).map(({ event }) => event);
  }
}
