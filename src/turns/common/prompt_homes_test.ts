import test from "ava";
import { create } from "@bufbuild/protobuf";
import { PromptHomeSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { PromptHomes } from "./prompt_homes.ts";

function createHome(partId: string, backendId: string) {
  return create(PromptHomeSchema, { partId, backendId, tokens: 10 });
}

test("a chain maps to the engine that processed it last, a branch to that of its origin", (t) => {
  const homes = new PromptHomes();
  homes.note(createHome("chain", "a"));
  homes.note(createHome("chain", "b"));
  t.is(homes.find(["shared", "chain"])?.backendId, "b");
  t.is(homes.find(["shared", "chain", "branch"])?.backendId, "b");
  homes.note(createHome("branch", "c"));
  t.is(homes.find(["shared", "chain", "branch"])?.backendId, "c");
  t.is(homes.find(["shared"]), undefined);
});

test("the least recently processed parts are evicted", (t) => {
  const homes = new PromptHomes();
  homes.note(createHome("kept", "a"));
  homes.note(createHome("old", "a"));
  for (let i = 0; i < 3998; i++) homes.note(createHome(`part-${i}`, "a"));
  homes.note(createHome("kept", "b"));
  homes.note(createHome("last", "a"));
  t.is(homes.find(["old"]), undefined);
  t.is(homes.find(["kept"])?.backendId, "b");
});
