/** Reads log lines from files or standard input. */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import type { ILogLine } from "../common/log_line.ts";
import { parseLogLine } from "../common/log_line.ts";

/**
 * Reads the files, or standard input if no file is given, and returns the lines that are log lines of an
 * instance.
 */
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
