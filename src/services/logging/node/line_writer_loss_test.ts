import { execFileSync, spawn } from "node:child_process";
import { mkdtempSync, openSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { LineWriter } from "./line_writer.ts";

test("the number of dropped lines is reported once the reader resumes", async (t) => {
  const fifo = join(mkdtempSync(join(tmpdir(), "ragwortcleat-log-")), "fifo");
  execFileSync("mkfifo", [fifo]);
  const writer = new LineWriter(openSync(fifo, "r+"));
  writer.onDidDrop((count) => writer.write(`lost ${count}`));
  for (let i = 0; i < 5000; i++) writer.write("x".repeat(1000));
  const { droppedCount: dropped } = writer;
  const reader = spawn("cat", [fifo]);
  t.teardown(() => reader.kill());
  const reportedCount = await new Promise<number>((resolve) => {
    let text = "";
    reader.stdout.on("data", (chunk) => {
      text = (text + String(chunk)).slice(-200);
      const report = /lost (\d+)\n/.exec(text);
      if (report !== null) resolve(Number(report[1]));
    });
  });
  t.is(reportedCount, dropped);
});
