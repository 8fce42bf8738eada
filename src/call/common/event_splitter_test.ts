import test from "ava";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

/** Pushes bytes split at the given offsets and returns the events. */
function split(bytes: Buffer, cuts: readonly number[]) {
  const splitter = new EventSplitter();
  const points = [...new Set([0, ...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length])].sort((
    a,
    b,
  ) => a - b);
  const events = points.slice(1).flatMap((to, index) => splitter.push(bytes.subarray(points[index], to)));
  return { events, rest: splitter.remainder };
}

test("parses ids and data and joins multiple data lines", (t) => {
  const [event] = split(Buffer.from("id: 7\ndata: a\ndata:b\n\n"), []).events;
  t.is(event.id, "7");
  t.is(event.data, "a\nb");
});

test("accepts lines that end with CRLF", (t) => {
  const { events } = split(Buffer.from("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"), []);
  t.deepEqual(events.map(({ id, data }) => [id, data]), [["1", "a"], ["2", "b"]]);
});

test("keeps a truncated event in the remainder", (t) => {
  const { events, rest } = split(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"), []);
  t.is(events.length, 1);
  t.is(Buffer.from(rest).toString(), "id: 2\nda");
});

test("yields the same bytes and events for any chunk boundaries", (t) => {
  const line = fc.constantFrom("data: x", "id: 4", ":", "a", "data:", "", "\r");
  const stream = fc.array(line, { maxLength: 30 }).map((lines) => Buffer.from(lines.join("\n")));
  fc.assert(
    fc.property(stream, fc.array(fc.nat(200), { maxLength: 12 }), (bytes, cuts) => {
      const unsplit = split(bytes, []);
      const pieces = split(bytes, cuts);
      const out = Buffer.concat([...pieces.events.map((event) => event.bytes), pieces.rest]);
      return out.equals(bytes) && pieces.events.length === unsplit.events.length &&
        pieces.events.every(({ id, data }, index) =>
          id === unsplit.events[index].id && data === unsplit.events[index].data
        );
    }),
    { seed: 7, numRuns: 2000 },
  );
  t.pass();
});

test("a stream ends within an event unless blank lines and comments alone follow the last one", (t) => {
  const ends: readonly (readonly [string, boolean])[] = [
    ["", false],
    ["\n", false],
    ["\r\n\r\n", false],
    [": done\n", false],
    [": done", true],
    ["id", true],
    ["id: 2\n", true],
    ["id: 2\ndata: x", true],
    ["id: 2\r\ndata: x\r\n", true],
    [": done\nid: 2\n", true],
  ];
  for (const [rest, isWithinEvent] of ends) {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(`id: 1\ndata: x\n\n${rest}`));
    t.is(splitter.isWithinEvent, isWithinEvent, JSON.stringify(rest));
  }
});
