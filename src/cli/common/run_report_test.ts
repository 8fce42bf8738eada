import test from "ava";
import type { ILogLine } from "./log_line.ts";
import { parseLogLine } from "./log_line.ts";
import { summarizeRun } from "./run_report.ts";

function logLine(ms: number, fields: object): ILogLine {
  const time = new Date(5000 + ms).toISOString();
  return parseLogLine(JSON.stringify({ time, level: "info", instance: "i", ...fields }))!;
}

test("a run is aggregated per second, regardless of the order of its lines", (t) => {
  const lines = [
    logLine(1500, { event: "request", route: "r", status: 200, tookMs: 100 }),
    logLine(0, { event: "started" }),
    logLine(1900, { event: "request", route: "r", status: 200, tookMs: 300 }),
    logLine(1000, { event: "request", route: "r", status: 503, reason: "overloaded", tookMs: 0 }),
    logLine(1001, { event: "request", route: "r", status: 503, reason: "overloaded", tookMs: 0 }),
    logLine(2000, { event: "log-lines-dropped", count: 4 }),
  ];
  const report = summarizeRun(lines);
  t.deepEqual(report.refusals, [{ second: 1, series: "overloaded", value: 2 }]);
  t.deepEqual(report.changes, [{ second: 0, series: "started", value: 1 }]);
  t.deepEqual(report.latency, [
    { second: 1, series: "r p50", value: 100 },
    { second: 1, series: "r p95", value: 301 },
  ]);
  t.is(report.droppedLines, 4);
  t.is(report.requests, 4);
});

test("a run without lines gives an empty report", (t) => {
  t.like(summarizeRun([]), { lines: 0, requests: 0, latency: [], refusals: [] });
});
