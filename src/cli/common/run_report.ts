/** What the logs of a run say over time, as series for plots. */
import { build } from "hdr-histogram-js";
import type { ILogLine } from "./log_line.ts";
import { isRequest, numberOf, textOf } from "./log_line.ts";

const MS_PER_SECOND = 1000;
const HIGHEST_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const PERCENTILES = [50, 95];

/** Events by which owners, instances and the store change. */
const CHANGES = new Set([
  "started",
  "stopping",
  "slice-opened",
  "slice-handed-over",
  "slice-claimed-by-other",
  "store-lost",
  "store-regained",
  "configuration",
  "backend-gone",
]);

/** One point of a plot. */
export interface IPoint {
  /** Seconds since the first line. */
  readonly second: number;
  readonly series: string;
  readonly value: number;
}

export interface IRunReport {
  readonly lines: number;
  readonly instances: number;
  readonly requests: number;
  /** Percentiles of the time of answered requests, by route, in ms. */
  readonly latency: readonly IPoint[];
  /** Refusals of the system's own by their reason, a second. */
  readonly refusals: readonly IPoint[];
  /** Changes of owners, instances and the store, a second. */
  readonly changes: readonly IPoint[];
  /** Log lines that instances say they lost. */
  readonly droppedLines: number;
}

/** Sums the lines of all instances up; they may come in any order. */
export function summarizeRun(lines: readonly ILogLine[]): IRunReport {
  const startedAt = lines.reduce((least, { time }) => Math.min(least, time), Infinity);
  const secondOf = ({ time }: ILogLine) => Math.floor((time - startedAt) / MS_PER_SECOND);
  const requests = lines.filter(isRequest);
  const refused = requests.filter((line) => textOf(line, "reason") !== undefined);
  const answered = requests.filter((line) => line.fields.status === 200);
  const changes = lines.filter(({ event }) => CHANGES.has(event));
  const dropped = lines.filter(({ event }) => event === "log-lines-dropped");
  return {
    lines: lines.length,
    instances: new Set(lines.map(({ instance }) => instance)).size,
    requests: requests.length,
    latency: percentiles(answered, secondOf),
    refusals: counts(refused, (line) => ({ second: secondOf(line), series: textOf(line, "reason") ?? "" })),
    changes: counts(changes, (line) => ({ second: secondOf(line), series: line.event })),
    droppedLines: dropped.reduce((sum, line) => sum + (numberOf(line, "count") ?? 0), 0),
  };
}

function counts(
  lines: readonly ILogLine[],
  keyOf: (line: ILogLine) => { second: number; series: string },
): IPoint[] {
  const groups = groupBy(lines, (line) => {
    const { second, series } = keyOf(line);
    return `${second} ${series}`;
  });
  return [...groups.values()].map((group) => ({ ...keyOf(group[0]), value: group.length }));
}

function percentiles(lines: readonly ILogLine[], secondOf: (line: ILogLine) => number): IPoint[] {
  const groups = groupBy(lines, (line) => `${secondOf(line)} ${textOf(line, "route") ?? ""}`);
  return [...groups.values()].flatMap((group) => {
    const histogram = build({
      highestTrackableValue: HIGHEST_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    for (const line of group) histogram.recordValue(Math.max(0, Math.round(numberOf(line, "tookMs") ?? 0)));
    const route = textOf(group[0], "route") ?? "no route";
    return PERCENTILES.map((percentile) => ({
      second: secondOf(group[0]),
      series: `${route} p${percentile}`,
      value: histogram.getValueAtPercentile(percentile),
    }));
  });
}

function groupBy(lines: readonly ILogLine[], keyOf: (line: ILogLine) => string): Map<string, ILogLine[]> {
  const groups = new Map<string, ILogLine[]>();
  for (const line of lines) {
    const key = keyOf(line);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [line]);
    else group.push(line);
  }
  return groups;
}
