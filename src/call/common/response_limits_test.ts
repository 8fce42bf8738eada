import test from "ava";
import { Effect, Result } from "effect";
import { BufferedBody } from "./buffered_body.ts";
import { EventSplitter } from "./event_splitter.ts";
import { UpstreamFault } from "./opaque_request.ts";
import { ResponseMemoryPool } from "./response_limits.ts";

const LIMITS = { maxResponseBytes: 100_000, maxEventBytes: 1000 };

/** Returns the fault of a body that has exceeded a limit; undefined if none has been exceeded. */
function faultOf(body: BufferedBody): Promise<UpstreamFault | undefined> {
  const faulty = Effect.result(body.failWhenExceeded());
  return Effect.runPromise(
    Effect.map(
      Effect.raceFirst(faulty, Effect.sleep(0)),
      (result) => result !== undefined && Result.isFailure(result) ? result.failure.fault : undefined,
    ),
  );
}

test("responses share a memory limit, from which small ones are exempt", async (t) => {
  const pool = new ResponseMemoryPool(50_000);
  const large = new BufferedBody(LIMITS, pool);
  large.push(new Uint8Array(60_000));
  const second = new BufferedBody(LIMITS, pool);
  second.push(new Uint8Array(60_000));
  t.is(await faultOf(second), UpstreamFault.TooLarge);
  const small = new BufferedBody(LIMITS, pool);
  small.push(new Uint8Array(8000));
  t.is(await faultOf(small), undefined);
  t.is(small.bytes.length, 8000);
  for (const body of [large, second, small]) body.dispose();
  t.is(pool.usedBytes, 0);
});

test("a body above its own limit is given up, and later chunks are ignored", async (t) => {
  const pool = new ResponseMemoryPool(Infinity);
  const body = new BufferedBody(LIMITS, pool);
  for (let index = 0; index < 11; index++) body.push(new Uint8Array(10_000));
  t.is(await faultOf(body), UpstreamFault.TooLarge);
  t.is(body.bytes.length, 100_000);
  body.dispose();
  body.push(new Uint8Array(10));
  t.is(body.bytes.length, 0);
});

test("an event in single bytes is assembled, and events that follow it are complete", (t) => {
  const splitter = new EventSplitter();
  const text = `id: 1\ndata: ${"x".repeat(5000)}\r\n\r\nid: 2\ndata: y\n\nrest`;
  const events = [...Buffer.from(text)].flatMap((byte) => splitter.push(Buffer.of(byte)));
  t.deepEqual(events.map(({ id, data }) => [id, data.length]), [["1", 5000], ["2", 1]]);
  t.is(splitter.remainderBytes, 4);
  t.is(Buffer.concat([...events.map(({ bytes }) => bytes), splitter.remainder]).toString(), text);
});
