/** The `report` command: renders the logs of a run as one HTML page. */
import { writeFileSync } from "node:fs";
import { parse, View } from "vega";
import { compile } from "vega-lite";
import { toError } from "../../base/common/errors.ts";
import { ExitCode } from "../common/exit_code.ts";
import type { IPlotPoint, IRunReport } from "../common/run_report.ts";
import { summarizeRun } from "../common/run_report.ts";
import { readLogLines } from "./log_files.ts";

const WIDTH_PX = 900;
const HEIGHT_PX = 220;

export interface IReportOptions {
  readonly files: readonly string[];
  /** Path of the page. */
  readonly out: string;
}

/** Writes an HTML page that summarizes the logs of a run. */
export async function report({ files, out }: IReportOptions): Promise<ExitCode> {
  try {
    const run = summarizeRun(await readLogLines(files));
    writeFileSync(out, await renderPage(run));
    console.log(`${out}: ${run.requests} requests in ${run.lines} lines of ${run.instances} instances`);
    return run.lines === 0 ? ExitCode.Failed : ExitCode.Ok;
  } catch (err) {
    console.error(`ragwortcleat: ${toError(err).message}`);
    return ExitCode.BadInput;
  }
}

interface IPlot {
  readonly title: string;
  readonly unit: string;
  readonly mark: "line" | "bar";
  readonly points: readonly IPlotPoint[];
}

/** Renders a self-contained page with the plots as inline SVG. */
export async function renderPage(run: IRunReport): Promise<string> {
  const plots: IPlot[] = [
    { title: "Time of answered requests by route", unit: "ms", mark: "line", points: run.latency },
    { title: "Refusals by cause", unit: "a second", mark: "bar", points: run.refusals },
    {
      title: "Changes of instances, owners and the store",
      unit: "a second",
      mark: "bar",
      points: run.changes,
    },
  ];
  const svgs = await Promise.all(plots.map(renderPlot));
  const dropNotice = run.droppedLines > 0
    ? ` ${run.droppedLines} log lines were dropped because of slow readers.`
    : "";
  return [
    "<!doctype html>",
    '<html lang="en"><head><meta charset="utf-8"><title>ragwortcleat run</title></head><body>',
    `<p>${run.requests} requests, ${run.instances} instances, ${run.lines} log lines.${dropNotice}</p>`,
    ...svgs,
    "</body></html>",
    "",
  ].join("\n");
}

async function renderPlot({ title, unit, mark, points }: IPlot): Promise<string> {
  const { spec } = compile({
    title,
    width: WIDTH_PX,
    height: HEIGHT_PX,
    data: { values: [...points] },
    mark,
    encoding: {
      x: { field: "second", type: "quantitative", title: "seconds" },
      y: { field: "value", type: "quantitative", title: unit },
      color: { field: "series", type: "nominal", title: null },
    },
  });
  return await new View(parse(spec), { renderer: "none" }).toSVG();
}
