/** The story of one request, put together from the logs of several instances. */
import type { ILogLine } from "./log_line.ts";
import { isRequest, numberOf, textOf } from "./log_line.ts";
import { causesOf } from "./request_causes.ts";

/** How long before a request beliefs may have changed that decided it, in ms: longer than any change takes to spread. */
const LOOK_BACK_MS = 6000;
/** Most by which the clocks of two instances differ, in ms. */
const CLOCK_SKEW_MS = 500;
/** Other requests of the program that are shown. */
const MAX_SIBLINGS = 12;

/** Changes of belief that concern an instance as a whole. */
const OWN_EVENTS = new Set([
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
/** Changes that matter to requests of other instances too: those of owners. */
const OWNER_EVENTS = new Set([
  "started",
  "stopping",
  "store-lost",
  "store-regained",
  "group-renewal-failed",
  "group-renewal-regained",
  "slice-opened",
  "slice-released",
  "slice-claimed-by-other",
  "slice-append-failed",
  "slice-append-regained",
  "slice-handed-over",
  "slice-not-released",
  "log-lines-dropped",
]);

export interface IRequestStory {
  /** How the request ended; undefined when no instance says. */
  readonly end: ILogLine | undefined;
  /** What happened while it was under way. */
  readonly attempts: readonly ILogLine[];
  /** Other requests of its program around it. */
  readonly siblings: readonly ILogLine[];
  /** What the instances came to believe shortly before and meanwhile. */
  readonly beliefs: readonly ILogLine[];
  /** Why it ended so, the likeliest first. */
  readonly causes: readonly string[];
  /** What the logs cannot tell. */
  readonly gaps: readonly string[];
}

/** Tells the story of a request; the lines may come in any order. */
export function tellRequest(lines: readonly ILogLine[], requestId: string): IRequestStory {
  const own = lines.filter((line) => textOf(line, "request") === requestId).sort(byTime);
  const end = own.findLast(isRequest);
  const attempts = own.filter((line) => !isRequest(line));
  const last = end ?? attempts.at(-1);
  if (last === undefined) return untold(lines);
  const from = last.time - (numberOf(last, "tookMs") ?? 0) - LOOK_BACK_MS;
  const until = last.time + CLOCK_SKEW_MS;
  const near = lines.filter(({ time }) => time >= from && time <= until);
  const backend = textOf(last, "backend");
  const beliefs = near.filter((line) => concerns(line, { instance: last.instance, backend })).sort(byTime);
  const story = { end, attempts, siblings: siblingsOf(lines, last), beliefs, gaps: gapsOf(beliefs, end) };
  return { ...story, causes: end === undefined ? [] : causesOf(end, { attempts, beliefs }) };
}

function untold(lines: readonly ILogLine[]): IRequestStory {
  const starts = lines.filter(({ event }) => event === "started").sort(byTime);
  const gap = "no instance wrote a line for this request: it was never read, or the instance was killed " +
    "before the request ended (a killed instance writes none; its start follows)";
  return { end: undefined, attempts: [], siblings: [], beliefs: starts, causes: [], gaps: [gap] };
}

function concerns(line: ILogLine, about: { instance: string; backend: string | undefined }): boolean {
  if (isRequest(line)) return false;
  const { event, instance } = line;
  if (instance === about.instance && OWN_EVENTS.has(event)) return true;
  if (OWNER_EVENTS.has(event)) return true;
  if (about.backend === undefined) return false;
  return textOf(line, "backend") === about.backend || textOf(line, "id") === about.backend;
}

function siblingsOf(lines: readonly ILogLine[], { fields, time }: ILogLine): ILogLine[] {
  if (fields.program === undefined) return [];
  const same = lines.filter((line) =>
    isRequest(line) && line.fields.program === fields.program && line.fields.request !== fields.request
  );
  const nearest = same.sort((a, b) => Math.abs(a.time - time) - Math.abs(b.time - time));
  return nearest.slice(0, MAX_SIBLINGS).sort(byTime);
}

function gapsOf(beliefs: readonly ILogLine[], end: ILogLine | undefined): string[] {
  const gaps = beliefs.filter(({ event }) => event === "log-lines-dropped").map((line) =>
    `${line.instance} lost ${numberOf(line, "count") ?? "some"} lines: its reader was too slow`
  );
  if (end === undefined) {
    gaps.unshift("no line tells how the request ended: its instance was killed meanwhile");
  }
  return gaps;
}

function byTime(a: ILogLine, b: ILogLine): number {
  return a.time - b.time;
}
