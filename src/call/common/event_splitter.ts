/** Splits an event stream into whole events, so that a cut-off event is never passed on. */

const LF = 10;
const CR = 13;

export interface IStreamEvent {
  /** The event as it came, with the empty line that ends it. */
  readonly bytes: Uint8Array;
  /** Undefined for an event without an id. */
  readonly id: string | undefined;
  /** Its data; lines are joined by line feeds. */
  readonly data: string;
}

export class EventSplitter {
  #rest: Uint8Array = new Uint8Array();

  /** Bytes behind the last whole event. */
  get rest(): Uint8Array {
    return this.#rest;
  }

  /** Takes up a piece of the stream and returns the events that it completes. */
  push(chunk: Uint8Array): IStreamEvent[] {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const events: IStreamEvent[] = [];
    let from = 0;
    let at = Math.max(0, this.#rest.length - 3);
    while (at < bytes.length) {
      const end = endOfEvent(bytes, at);
      if (end === undefined) {
        at += 1;
        continue;
      }
      events.push(parseEvent(bytes.subarray(from, end)));
      from = end;
      at = end;
    }
    this.#rest = bytes.subarray(from);
    return events;
  }
}

/** Offset behind an empty line whose preceding line ends at `at`. */
function endOfEvent(bytes: Uint8Array, at: number): number | undefined {
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
    if (line.startsWith("data:")) data.push(valueOf(line, 5));
    else if (line.startsWith("id:")) id = valueOf(line, 3);
  }
  return { bytes, id, data: data.join("\n") };
}

function valueOf(line: string, from: number): string {
  return line.slice(line[from] === " " ? from + 1 : from);
}
