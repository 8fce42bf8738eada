/** Aggregates the logs of a run into time series for plots. */
import { build } from "hdr-histogram-js";
import type { ILogLine } from "./log_line.ts";
import { isRequestEnd, numberField, stringField } from "./log_line.ts";

const MS_PER_SECOND = 1000;
const MAX_RECORDABLE_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
const PERCENTILES = [50, 95];

/** Events that report changes of owners, instances and the store. */
const CHANGE_EVENTS = new Set([
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
export interface IPlotPoint {
  /** Seconds since the first line. */
  readonly second: number;
  readonly series: string;
  readonly value: number;
}

export interface IRunReport {
  readonly lines: number;
  readonly instances: number;
  readonly requests: number;
  /** Latency percentiles of successful requests by route, in ms. */
  readonly latency: readonly IPlotPoint[];
  /** Refusals by the system per second, by reason. */
  readonly refusals: readonly IPlotPoint[];
  /** Changes of owners, instances and the store per second, by event. */
  readonly changes: readonly IPlotPoint[];
  /** Log lines that instances report as dropped. */
  readonly droppedLines: number;
}

/** Aggregates the lines of all instances, which may be in any order. */
export function summarizeRun(lines: readonly ILogLine[]): IRunReport {
  const startMs = lines.reduce((earliest, { time }) => Math.min(earliest, time), Infinity);
  const secondOf = ({ time }: ILogLine) => Math.floor((time - startMs) / MS_PER_SECOND);
  const requests = lines.filter(isRequestEnd);
  const refused = requests.filter((line) => stringField(line, "reason") !== undefined);
  const answered = requests.filter((line) => line.fields.status === 200);
  const changes = lines.filter(({ event }) => CHANGE_EVENTS.has(event));
  const dropped = lines.filter(({ event }) => event === "log-lines-dropped");
  return {
    lines: lines.length,
    instances: new Set(lines.map(({ instance }) => instance)).size,
    requests: requests.length,
    latency: percentiles(answered, secondOf),
    refusals: counts(
      refused,
      (line) => ({ second: secondOf(line), series: stringField(line, "reason") ?? "" }),
    ),
    changes: counts(changes, (line) => ({ second: secondOf(line), series: line.event })),
    droppedLines: dropped.reduce((sum, line) => sum + (numberField(line, "count") ?? 0), 0),
  };
}

function counts(
  lines: readonly ILogLine[],
  keyOf: (line: ILogLine) => { second: number; series: string },
): IPlotPoint[] {
  const groups = groupBy(lines, (line) => {
    const { second, series } = keyOf(line);
    return `${second} ${series}`;
  });
  return [...groups.values()].map((group) => ({ ...keyOf(group[0]), value: group.length }));
}

function percentiles(lines: readonly ILogLine[], secondOf: (line: ILogLine) => number): IPlotPoint[] {
  const groups = groupBy(lines, (line) => `${secondOf(line)} ${stringField(line, "route") ?? ""}`);
  return [...groups.values()].flatMap((group) => {
    const histogram = build({
      highestTrackableValue: MAX_RECORDABLE_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    for (const line of group) {
      histogram.recordValue(Math.max(0, Math.round(numberField(line, "tookMs") ?? 0)));
    }
    const route = stringField(group[0], "route") ?? "no route";
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
