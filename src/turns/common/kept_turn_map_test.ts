import { create } from "@bufbuild/protobuf";
import test from "ava";
import { KeptTurnSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { KeptTurnMap } from "./kept_turn_map.ts";

const NOW = 1_700_000_000_000;
const RETAIN_MS = 60_000;

function createTurn(turnId: string, { storedAtMs = NOW, retainMs = RETAIN_MS } = {}) {
  return create(KeptTurnSchema, { turnId, content: Buffer.from("c"), storedAtMs, retainMs });
}

// Guards against memory that grows for good behind one record of another writer.
test("turns with an odd time or retention period keep no others from being evicted", (t) => {
  const turns = new KeptTurnMap();
  for (const storedAtMs of [NaN, Infinity, 1e300, Number.MAX_SAFE_INTEGER]) {
    turns.put(createTurn(`odd ${storedAtMs}`, { storedAtMs }));
  }
  turns.put(createTurn("long", { retainMs: 2 ** 32 - 1 }));
  turns.put(createTurn("a"));
  turns.put(createTurn("b", { storedAtMs: NOW + RETAIN_MS }));
  turns.evictExpired(NOW + 2 * RETAIN_MS);
  t.deepEqual([...turns.values()].map(({ turnId }) => turnId), ["long", "b"]);
  t.is(turns.bytes, 2);
});
