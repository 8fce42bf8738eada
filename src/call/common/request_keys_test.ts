import test from "ava";
import type { IKeyedContent } from "./request_keys.ts";
import { formatParts, sharedKeysOf } from "./request_keys.ts";

const CONTENT: IKeyedContent = {
  method: "POST",
  host: "h",
  target: "/x",
  body: Buffer.from("b"),
  affinityKey: "a",
  promptPartIds: ["p1", "p2", "p3", "p4"],
};

function namesOf(content: IKeyedContent): string[] {
  return sharedKeysOf(content).map(({ parts }) => formatParts(parts));
}

test("keys are those of single parts and pairs, of the first three prompt parts only", (t) => {
  const names = namesOf(CONTENT);
  t.is(names.length, 6 + 15);
  t.true(names.includes("target") && names.includes("body+prompt-part-3"));
  t.is(new Set(sharedKeysOf(CONTENT).map(({ hash }) => hash)).size, names.length);
});

test("a key that the request's fingerprint includes is left out", (t) => {
  t.deepEqual(namesOf({ ...CONTENT, affinityKey: "", promptPartIds: [] }), ["target", "body"]);
  t.deepEqual(namesOf({ ...CONTENT, body: Buffer.of(), affinityKey: "", promptPartIds: ["p"] }), [
    "prompt-part-1",
  ]);
});

test("requests that share a part have its key in common, and no other", (t) => {
  const hashes = new Set(sharedKeysOf(CONTENT).map(({ hash }) => hash));
  const other = { ...CONTENT, body: Buffer.from("c"), affinityKey: "d", promptPartIds: ["p5"] };
  const common = sharedKeysOf(other).filter(({ hash }) => hashes.has(hash));
  t.deepEqual(common.map(({ parts }) => formatParts(parts)), ["target"]);
});
