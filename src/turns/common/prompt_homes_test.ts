import test from "ava";
import { create } from "@bufbuild/protobuf";
import { PromptHomeSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { PromptHomes } from "./prompt_homes.ts";

function homeOf(partId: string, backendId: string) {
  return create(PromptHomeSchema, { partId, backendId, tokens: 10 });
}

test("a line is found where it was read last, a branch where its origin was", (t) => {
  const homes = new PromptHomes();
  homes.note(homeOf("line", "a"));
  homes.note(homeOf("line", "b"));
  t.is(homes.find(["shared", "line"])?.backendId, "b");
  t.is(homes.find(["shared", "line", "branch"])?.backendId, "b");
  homes.note(homeOf("branch", "c"));
  t.is(homes.find(["shared", "line", "branch"])?.backendId, "c");
  t.is(homes.find(["shared"]), undefined);
});

test("the lines that were not read for longest are forgotten", (t) => {
  const homes = new PromptHomes();
  homes.note(homeOf("kept", "a"));
  homes.note(homeOf("old", "a"));
  for (let i = 0; i < 3998; i++) homes.note(homeOf(`line-${i}`, "a"));
  homes.note(homeOf("kept", "b"));
  homes.note(homeOf("last", "a"));
  t.is(homes.find(["old"]), undefined);
  t.is(homes.find(["kept"])?.backendId, "b");
});
