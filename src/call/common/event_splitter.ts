/** Splits a server-sent event stream into complete events, so that a truncated event is never relayed. */

const LF = 10;
const CR = 13;

export interface IStreamEvent {
  /** The event as received, including the blank line that ends it. */
  readonly bytes: Uint8Array;
  /** Undefined for an event without an id. */
  readonly id: string | undefined;
  /** Data of the event, with multiple lines joined by line feeds. */
  readonly data: string;
}

export class EventSplitter {
  #remainder: Uint8Array = new Uint8Array();

  /** Bytes after the last complete event. */
  get remainder(): Uint8Array {
    return this.#remainder;
  }

  /** Adds a chunk of the stream and returns the events that it completes. */
  push(chunk: Uint8Array): IStreamEvent[] {
    const bytes = this.#remainder.length === 0 ? chunk : Buffer.concat([this.#remainder, chunk]);
    const events: IStreamEvent[] = [];
    let start = 0;
    let at = Math.max(0, this.#remainder.length - 3);
    while (at < bytes.length) {
      const end = findEventEnd(bytes, at);
      if (end === undefined) {
        at += 1;
        continue;
      }
      events.push(parseEvent(bytes.subarray(start, end)));
      start = end;
      at = end;
    }
    this.#remainder = bytes.subarray(start);
    return events;
  }
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
