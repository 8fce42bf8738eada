/** Writes log lines to a file descriptor without blocking on a slow reader. */
import { write } from "node:fs";
import process from "node:process";
import type { Event } from "../../../base/common/emitter.ts";
import { Emitter } from "../../../base/common/emitter.ts";

/** Longest time that a line is buffered for a batched write, in ms. */
const FLUSH_INTERVAL_MS = 50;
/** Longest time that {@link LineWriter.flush} waits for pending writes, in ms. */
const MAX_FLUSH_MS = 500;
const FLUSH_POLL_MS = 5;
/** Size of the buffer for a slow reader. Lines that exceed it are dropped and counted. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

export class LineWriter {
  readonly #fd: number;
  #lines: string[] = [];
  #bufferedBytes = 0;
  readonly #onDidDrop = new Emitter<number>();
  /** Fires with the number of lines dropped since the last report, once the buffer has free space again. */
  readonly onDidDrop: Event<number> = this.#onDidDrop.event;
  #droppedCount = 0;
  #reportedDroppedCount = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(fd: number = process.stdout.fd) {
    this.#fd = fd;
  }

  /** Number of lines dropped because the reader was too slow. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  write(line: string): void {
    if (this.#bufferedBytes > MAX_BUFFERED_BYTES) {
      this.#droppedCount += 1;
      return;
    }
    this.#lines.push(line);
    this.#bufferedBytes += line.length + 1;
    if (this.#isWriting) return;
    this.#timer ??= setTimeout(() => this.#flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Writes the buffered lines before the process exits. Gives up after {@link MAX_FLUSH_MS}. */
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
    this.#writeFully(bytes);
  }

  #reportDropped(): void {
    const count = this.#droppedCount - this.#reportedDroppedCount;
    if (count === 0 || this.#bufferedBytes > MAX_BUFFERED_BYTES) return;
    this.#reportedDroppedCount = this.#droppedCount;
    this.#onDidDrop.fire(count);
  }

  #writeFully(bytes: Uint8Array): void {
    write(this.#fd, bytes, (err, written) => {
      const writtenBytes = err === null ? written : err.code === "EAGAIN" ? 0 : bytes.length;
      if (writtenBytes < bytes.length) {
        setTimeout(() => this.#writeFully(bytes.subarray(writtenBytes)), FLUSH_INTERVAL_MS).unref();
        return;
      }
      this.#isWriting = false;
      this.#bufferedBytes = this.#lines.reduce((sum, line) => sum + line.length + 1, 0);
      this.#reportDropped();
      if (this.#lines.length > 0) this.#flush();
    });
  }
}
