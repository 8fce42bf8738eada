/** Writes log lines to standard output without ever waiting for its reader. */
import { write } from "node:fs";
import process from "node:process";
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";

/** Longest time that a line waits for others, in ms: fewer, larger writes. */
const FLUSH_INTERVAL_MS = 50;
/** Longest wait for the last lines at the end of the process, in ms. */
const MAX_FLUSH_MS = 500;
const FLUSH_POLL_MS = 5;
/** Bytes of lines that wait for a slow reader; what comes beyond them is dropped and counted. */
const MAX_WAITING_BYTES = 1024 * 1024;

export class LineWriter {
  readonly #fd: number;
  #lines: string[] = [];
  #waitingBytes = 0;
  readonly #onDidDrop = new Emitter<number>();
  /** Lines were dropped since the last time, and there is room again. */
  readonly onDidDrop: Event<number> = this.#onDidDrop.event;
  #dropped = 0;
  #reported = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(fd: number = process.stdout.fd) {
    this.#fd = fd;
  }

  /** Lines that were dropped because the reader was too slow. */
  get dropped(): number {
    return this.#dropped;
  }

  write(line: string): void {
    if (this.#waitingBytes > MAX_WAITING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#waitingBytes += line.length + 1;
    if (this.#isWriting) return;
    this.#timer ??= setTimeout(() => this.#flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Writes what waits, before the process ends; gives up on a reader that does not read. */
  async flush(): Promise<void> {
    this.#flush();
    for (let waitedMs = 0; this.#isWriting && waitedMs < MAX_FLUSH_MS; waitedMs += FLUSH_POLL_MS) {
      await new Promise((resolve) => setTimeout(resolve, FLUSH_POLL_MS));
    }
  }

  #flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#lines.length === 0) return;
    const bytes = Buffer.from(`${this.#lines.join("\n")}\n`);
    this.#lines = [];
    this.#isWriting = true;
    this.#writeRest(bytes);
  }

  #reportDropped(): void {
    const count = this.#dropped - this.#reported;
    if (count === 0 || this.#waitingBytes > MAX_WAITING_BYTES) return;
    this.#reported = this.#dropped;
    this.#onDidDrop.fire(count);
  }

  #writeRest(bytes: Uint8Array): void {
    write(this.#fd, bytes, (err, written) => {
      const done = err === null ? written : err.code === "EAGAIN" ? 0 : bytes.length;
      if (done < bytes.length) {
        setTimeout(() => this.#writeRest(bytes.subarray(done)), FLUSH_INTERVAL_MS).unref();
        return;
      }
      this.#isWriting = false;
      this.#waitingBytes = this.#lines.reduce((sum, line) => sum + line.length + 1, 0);
      this.#reportDropped();
      if (this.#lines.length > 0) this.#flush();
    });
  }
}
