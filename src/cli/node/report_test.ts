import test from "ava";
import { renderPage } from "./report.ts";

test("a page contains a plot for each topic, with its series named", async (t) => {
  const page = await renderPage({
    lines: 3,
    instances: 1,
    requests: 2,
    latency: [{ second: 0, series: "r p50", value: 20 }, { second: 1, series: "r p50", value: 30 }],
    refusals: [{ second: 1, series: "overloaded", value: 2 }],
    changes: [],
    droppedLines: 5,
  });
  t.is(page.match(/<svg/g)?.length, 3);
  for (const text of ["r p50", "overloaded", "5 log lines were dropped"]) t.true(page.includes(text), text);
});
