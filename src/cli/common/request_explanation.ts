/** Explains the outcome of one request from the logs of several instances. */
import type { ILogLine } from "./log_line.ts";
import { isRequestEnd, numberField, stringField } from "./log_line.ts";
import { causesOf } from "./request_causes.ts";

/** Time before a request in which state changes may have affected it, in ms; longer than any change takes to propagate. */
const LOOKBACK_MS = 6000;
/** Maximum clock difference between two instances, in ms. */
const CLOCK_SKEW_MS = 500;
/** Maximum number of other requests of the program that are included. */
const MAX_SIBLINGS = 12;

/** Events that change the state of an instance as a whole. */
const INSTANCE_EVENTS = new Set([
  "started",
  "stopping",
  "stopped",
  "settings-reloaded",
  "configuration",
  "configuration-unreadable",
  "store-lost",
  "store-regained",
  "store-history-gone",
  "group-generation",
  "group-renewal-failed",
  "group-renewal-regained",
  "owners-changed",
  "log-lines-dropped",
]);
/** Events of slice owners, which also affect requests on other instances. */
const OWNER_EVENTS = new Set([
  "started",
  "stopping",
  "store-lost",
  "store-regained",
  "group-renewal-failed",
  "group-renewal-regained",
  "slice-open-failed",
  "slice-opened",
  "slice-released",
  "slice-claimed-by-other",
  "slice-append-failed",
  "slice-append-regained",
  "slice-handed-over",
  "slice-not-released",
  "log-lines-dropped",
]);

export interface IRequestExplanation {
  /** Line that reports the request's end; undefined if no instance logged one. */
  readonly end: ILogLine | undefined;
  /** Lines logged while the request was in progress. */
  readonly attempts: readonly ILogLine[];
  /** Ends of other requests of the program, those nearest in time. */
  readonly siblings: readonly ILogLine[];
  /** State changes that the instances logged shortly before and during the request. */
  readonly beliefs: readonly ILogLine[];
  /** Causes of the outcome, the likeliest first. */
  readonly causes: readonly string[];
  /** Information that is missing from the logs. */
  readonly gaps: readonly string[];
}

/** Explains a request. The log lines may be in any order. */
export function explainRequest(lines: readonly ILogLine[], requestId: string): IRequestExplanation {
  const requestLines = lines.filter((line) => stringField(line, "request") === requestId).sort(byTime);
  const end = requestLines.findLast(isRequestEnd);
  const attempts = requestLines.filter((line) => !isRequestEnd(line));
  const last = end ?? attempts.at(-1);
  if (last === undefined) return explainMissing(lines);
  const from = last.time - (numberField(last, "tookMs") ?? 0) - LOOKBACK_MS;
  const until = last.time + CLOCK_SKEW_MS;
  const nearby = lines.filter(({ time }) => time >= from && time <= until);
  const backends = backendsOf(last, attempts);
  const beliefs = nearby.filter((line) => isRelevant(line, { instance: last.instance, backends })).sort(
    byTime,
  );
  const explanation = {
    end,
    attempts,
    siblings: siblingsOf(lines, last),
    beliefs,
    gaps: gapsOf(beliefs, end),
  };
  return { ...explanation, causes: end === undefined ? [] : causesOf(end, { attempts, beliefs }) };
}

function explainMissing(lines: readonly ILogLine[]): IRequestExplanation {
  const starts = lines.filter(({ event }) => event === "started").sort(byTime);
  const gap = "no instance logged this request: it was never received, or the instance was killed " +
    "before the request ended (a killed instance logs nothing; starts of instances are listed)";
  return { end: undefined, attempts: [], siblings: [], beliefs: starts, causes: [], gaps: [gap] };
}

/** The backend server of the outcome, and both servers of a hedged request. */
function backendsOf(last: ILogLine, attempts: readonly ILogLine[]): ReadonlySet<string | undefined> {
  const hedged = attempts.filter((line) => stringField(line, "hedgeBackend") !== undefined);
  const fields = hedged.flatMap((line) => [stringField(line, "backend"), stringField(line, "hedgeBackend")]);
  return new Set([stringField(last, "backend"), ...fields]);
}

function isRelevant(
  line: ILogLine,
  about: { instance: string; backends: ReadonlySet<string | undefined> },
): boolean {
  if (isRequestEnd(line)) return false;
  const { event, instance } = line;
  if (instance === about.instance && INSTANCE_EVENTS.has(event)) return true;
  if (OWNER_EVENTS.has(event)) return true;
  const ids = [stringField(line, "backend"), stringField(line, "id")];
  return ids.some((id) => id !== undefined && about.backends.has(id));
}

function siblingsOf(lines: readonly ILogLine[], { fields, time }: ILogLine): ILogLine[] {
  if (fields.program === undefined) return [];
  const same = lines.filter((line) =>
    isRequestEnd(line) && line.fields.program === fields.program && line.fields.request !== fields.request
  );
  const nearest = same.sort((a, b) => Math.abs(a.time - time) - Math.abs(b.time - time));
  return nearest.slice(0, MAX_SIBLINGS).sort(byTime);
}

function gapsOf(stateChanges: readonly ILogLine[], end: ILogLine | undefined): string[] {
  const gaps = stateChanges.filter(({ event }) => event === "log-lines-dropped").map((line) =>
    `${line.instance} dropped ${
      numberField(line, "count") ?? "some"
    } log lines because its log reader was too slow`
  );
  if (end === undefined) {
    gaps.unshift("no log line reports how the request ended: its instance was killed before that");
  }
  return gaps;
}

function byTime(a: ILogLine, b: ILogLine): number {
  return a.time - b.time;
}
