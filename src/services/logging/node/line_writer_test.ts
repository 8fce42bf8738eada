import { mkdtempSync, openSync, readFileSync } from "node:fs";
import { execFileSync, spawn } from "node:child_process";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { LineWriter } from "./line_writer.ts";

test("lines are written completely and in order", async (t) => {
  const file = join(mkdtempSync(join(tmpdir(), "ragwortcleat-log-")), "log");
  const writer = new LineWriter(openSync(file, "w"));
  for (let i = 0; i < 1000; i++) writer.write(`line ${i}`);
  await writer.flush();
  t.is(readFileSync(file, "utf8"), Array.from({ length: 1000 }, (_, i) => `line ${i}\n`).join(""));
  t.is(writer.droppedCount, 0);
});

test("lines are dropped without blocking when the reader does not read", async (t) => {
  const fifo = join(mkdtempSync(join(tmpdir(), "ragwortcleat-log-")), "fifo");
  execFileSync("mkfifo", [fifo]);
  const writer = new LineWriter(openSync(fifo, "r+"));
  const line = "x".repeat(1000);
  for (let i = 0; i < 5000; i++) writer.write(line);
  t.true(writer.droppedCount > 3000, String(writer.droppedCount));
  // A write that stays blocked occupies a thread, which would keep the test's process from exiting.
  const reader = spawn("cat", [fifo], { stdio: "ignore" });
  t.teardown(() => reader.kill());
  await new Promise((resolve) => writer.onDidDrop(resolve));
});
