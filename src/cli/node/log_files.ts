/** Reads log lines from files or standard input. */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import type { ILogLine } from "../common/log_line.ts";
import { parseLogLine } from "../common/log_line.ts";

/** Returns all log lines of instances in the files, or in standard input if there are no files. */
export async function readLogLines(files: readonly string[]): Promise<ILogLine[]> {
  const lines: ILogLine[] = [];
  const inputs = files.length === 0 ? [process.stdin] : files.map((file) => createReadStream(file));
  for (const input of inputs) {
    for await (const text of createInterface({ input, crlfDelay: Infinity })) {
      const line = parseLogLine(text);
      if (line !== undefined) lines.push(line);
    }
  }
  return lines;
}
