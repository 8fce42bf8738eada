/** Splits a server-sent event stream into complete events, so that a truncated event is never relayed. */
import { ByteBuffer } from "../../base/common/byte_buffer.ts";

/** A blank line, a comment, or a field that a server of event streams sends. */
const EVENT_LINE = /^(?:$|:|[a-z][a-z-]*(?::|$))/;
const LF = 10;
const CR = 13;
/** Bytes of an event's end that can lie before a chunk boundary: all but the last of LF CR LF. */
const MAX_SPLIT_END_BYTES = 2;

export interface IStreamEvent {
  /** The event as received, including the blank line that ends it. */
  readonly bytes: Uint8Array;
  /** Undefined for an event without an id. */
  readonly id: string | undefined;
  /** Data of the event, with multiple lines joined by line feeds. */
  readonly data: string;
}

export class EventSplitter {
  /** The beginning of an event that is not complete. */
  readonly #pending = new ByteBuffer();

  /** Number of bytes after the last complete event. */
  get remainderBytes(): number {
    return this.#pending.length;
  }

  /** Bytes after the last complete event; valid until the next call. */
  get remainder(): Uint8Array {
    return this.#pending.view();
  }

  /** Whether a stream that ends here ends within an event. Blank lines and comments are not part of one. */
  get isWithinEvent(): boolean {
    const lines = Buffer.from(this.#pending.view()).toString("latin1").split(/\r?\n/);
    const unfinishedLine = lines.pop();
    return unfinishedLine !== "" || lines.some((line) => line !== "" && !line.startsWith(":"));
  }

  /**
   * Adds a chunk of the stream and returns the events that it completes. Each byte is examined and copied a constant
   * number of times, however many chunks an event has.
   */
  push(chunk: Uint8Array): IStreamEvent[] {
    const pendingBytes = this.#pending.length;
    if (pendingBytes > 0) this.#pending.append(chunk);
    const bytes = pendingBytes > 0 ? this.#pending.view() : chunk;
    const ends = findEventEnds(bytes, Math.max(0, pendingBytes - MAX_SPLIT_END_BYTES));
    if (ends.length === 0) {
      if (pendingBytes === 0) this.#pending.append(chunk);
      return [];
    }
    if (pendingBytes > 0) this.#pending.take();
    const events = ends.map((end, index) => parseEvent(bytes.subarray(ends[index - 1] ?? 0, end)));
    this.#pending.append(bytes.subarray(ends[ends.length - 1]));
    return events;
  }
}

/** Whether bytes contain only lines of event streams, not for example the head of a response. */
export function hasOnlyEventLines(bytes: Uint8Array): boolean {
  const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString("latin1");
  return text.split(/\r?\n/).every((line) => EVENT_LINE.test(line));
}

/** Returns the offsets after the blank lines that follow a line end at `from` or later. */
function findEventEnds(bytes: Uint8Array, from: number): number[] {
  const ends: number[] = [];
  let at = from;
  while (at < bytes.length) {
    const end = findEventEnd(bytes, at);
    if (end !== undefined) ends.push(end);
    at = end ?? at + 1;
  }
  return ends;
}

/** Returns the offset after the blank line that follows the line end at `at`, if there is one. */
function findEventEnd(bytes: Uint8Array, at: number): number | undefined {
  if (bytes[at] !== LF) return undefined;
  if (bytes[at + 1] === LF) return at + 2;
  if (bytes[at + 1] === CR && bytes[at + 2] === LF) return at + 3;
  return undefined;
}

function parseEvent(bytes: Uint8Array): IStreamEvent {
  let id: string | undefined;
  const data: string[] = [];
  for (
    const line of Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString("latin1").split(/\r?\n/)
  ) {
    if (line.startsWith("data:")) data.push(fieldValue(line, 5));
    else if (line.startsWith("id:")) id = fieldValue(line, 3);
  }
  return { bytes, id, data: data.join("\n") };
}

/** Returns the value that starts at an offset, without the optional leading space. */
function fieldValue(line: string, start: number): string {
  return line.slice(line[start] === " " ? start + 1 : start);
}
