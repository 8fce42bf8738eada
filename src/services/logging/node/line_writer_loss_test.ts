// Apart from the other tests: their writer stays blocked in a thread, which would keep this process.
import { execFileSync, spawn } from "node:child_process";
import { mkdtempSync, openSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { LineWriter } from "./line_writer.ts";

test("a reader that reads again learns how many lines it has lost", async (t) => {
  const fifo = join(mkdtempSync(join(tmpdir(), "ragwortcleat-log-")), "fifo");
  execFileSync("mkfifo", [fifo]);
  const writer = new LineWriter(openSync(fifo, "r+"));
  writer.onDidDrop((count) => writer.write(`lost ${count}`));
  for (let i = 0; i < 5000; i++) writer.write("x".repeat(1000));
  const { dropped } = writer;
  const reader = spawn("cat", [fifo]);
  t.teardown(() => reader.kill());
  const lost = await new Promise<number>((resolve) => {
    let text = "";
    reader.stdout.on("data", (chunk) => {
      text = (text + String(chunk)).slice(-200);
      const told = /lost (\d+)\n/.exec(text);
      if (told !== null) resolve(Number(told[1]));
    });
  });
  t.is(lost, dropped);
});
