import test from "ava";
import { create } from "@bufbuild/protobuf";
import { PromptHomeSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { PromptHomeCache } from "./prompt_home_cache.ts";

function createHome(partId: string, backendId: string) {
  return create(PromptHomeSchema, { partId, backendId, tokens: 10 });
}

test("a session maps to the engine that processed it last, a branch to that of its origin", (t) => {
  const homes = new PromptHomeCache();
  homes.record(createHome("line", "a"));
  homes.record(createHome("line", "b"));
  t.is(homes.findLongestPrefix(["shared", "line"])?.backendId, "b");
  t.is(homes.findLongestPrefix(["shared", "line", "branch"])?.backendId, "b");
  homes.record(createHome("branch", "c"));
  t.is(homes.findLongestPrefix(["shared", "line", "branch"])?.backendId, "c");
  t.is(homes.findLongestPrefix(["shared"]), undefined);
});

test("the least recently processed parts are evicted", (t) => {
  const homes = new PromptHomeCache();
  homes.record(createHome("kept", "a"));
  homes.record(createHome("old", "a"));
  for (let i = 0; i < 3998; i++) homes.record(createHome(`line-${i}`, "a"));
  homes.record(createHome("kept", "b"));
  homes.record(createHome("last", "a"));
  t.is(homes.findLongestPrefix(["old"]), undefined);
  t.is(homes.findLongestPrefix(["kept"])?.backendId, "b");
});
