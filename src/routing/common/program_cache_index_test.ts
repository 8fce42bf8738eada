import test from "ava";
import { ProgramCacheIndex } from "./program_cache_index.ts";
import type { ICacheEvent } from "./model_engine.ts";
import { CacheEventKind } from "./model_engine.ts";

function stored(sequence: number, programId: string, tokens: number): ICacheEvent {
  return { sequence, kind: CacheEventKind.Stored, programId, tokens };
}

test("a gap in the event sequence marks entries uncertain but keeps them", (t) => {
  const cache = new ProgramCacheIndex();
  cache.applyEvents([stored(1, "a", 100)]);
  t.is(cache.expectedTokens("a"), 100);
  cache.applyEvents([stored(3, "b", 10)]);
  t.is(cache.expectedTokens("a"), 50);
  t.is(cache.expectedTokens("b"), 10);
});

test("a delayed event does not shrink an entry recorded after a completed call", (t) => {
  const cache = new ProgramCacheIndex();
  cache.recordCall("a", 300);
  cache.applyEvents([stored(1, "a", 100)]);
  t.is(cache.expectedTokens("a"), 300);
  cache.applyEvents([{ sequence: 2, kind: CacheEventKind.Evicted, programId: "a", tokens: 0 }]);
  t.is(cache.expectedTokens("a"), 0);
});
