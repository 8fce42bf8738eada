import test from "ava";
import { CacheMap } from "./cache_map.ts";
import type { ICacheEvent } from "./model_engine.ts";
import { CacheEventKind } from "./model_engine.ts";

function stored(sequence: number, programId: string, tokens: number): ICacheEvent {
  return { sequence, kind: CacheEventKind.Stored, programId, tokens };
}

test("a gap in the event sequence marks entries uncertain but keeps them", (t) => {
  const cache = new CacheMap();
  cache.apply([stored(1, "a", 100)]);
  t.is(cache.expectedTokens("a"), 100);
  cache.apply([stored(3, "b", 10)]);
  t.is(cache.expectedTokens("a"), 50);
  t.is(cache.expectedTokens("b"), 10);
});

test("a delayed event does not shrink an entry recorded after a completed call", (t) => {
  const cache = new CacheMap();
  cache.noteRun("a", 300);
  cache.apply([stored(1, "a", 100)]);
  t.is(cache.expectedTokens("a"), 300);
  cache.apply([{ sequence: 2, kind: CacheEventKind.Evicted, programId: "a", tokens: 0 }]);
  t.is(cache.expectedTokens("a"), 0);
});
