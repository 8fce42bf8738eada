import test from "ava";
import { create } from "@bufbuild/protobuf";
import type { Member } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { MemberSchema, MemberState, RecordSchema } from "../../base/common/gen/ragwortcleat/v1/journal_pb.ts";
import { SLICE_COUNT } from "../../base/common/ids.ts";
import { makeNextView, View, ViewTracker } from "./view.ts";

function member(instanceId: string, incarnation = "1"): Member {
  return create(MemberSchema, { instanceId, incarnation, state: MemberState.ACTIVE });
}

test("a view does not change when a member's own record does", (t) => {
  const self = member("a");
  const views = new ViewTracker();
  views.apply(makeNextView(undefined, [self]));
  self.state = MemberState.DRAINING;
  t.is(views.current?.members[0].state, MemberState.ACTIVE);
});

test("only the slices of a removed member are reassigned", (t) => {
  const [a, b, c] = [member("a"), member("b"), member("c")];
  const before = new View(makeNextView(undefined, [a, b, c]));
  const after = new View(makeNextView(before, [a, c]));
  for (let slice = 0; slice < SLICE_COUNT; slice++) {
    const owner = before.ownerOf(slice)!.instanceId;
    if (owner === "b") t.is(after.epochOf(slice), 2);
    else t.deepEqual([after.ownerOf(slice)?.instanceId, after.epochOf(slice)], [owner, 1]);
  }
});

test("of two views with the same number only the first takes effect", (t) => {
  const views = new ViewTracker();
  t.true(views.apply(makeNextView(undefined, [member("a")])));
  t.false(views.apply(makeNextView(undefined, [member("b")])));
  t.is(views.current?.members[0].instanceId, "a");
});

test("records with the epoch of an earlier incarnation are rejected after a restart", (t) => {
  const views = new ViewTracker();
  views.apply(makeNextView(undefined, [member("a", "1")]));
  const record = create(RecordSchema, { slice: 3, epoch: 1 });
  t.true(views.isWriterOwner(record, member("a", "1")));
  views.apply(makeNextView(views.current, [member("a", "2")]));
  t.false(views.isWriterOwner(record, member("a", "1")));
  t.false(views.isWriterOwner(record, member("a", "2")));
});
