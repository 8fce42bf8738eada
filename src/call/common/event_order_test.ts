import test from "ava";
import { EventOrder, EventPosition } from "./event_order.ts";

const { Next, Earlier, AfterGap, Unordered } = EventPosition;

function orderOf(ids: readonly (string | undefined)[], lastId?: string): EventOrder {
  const order = new EventOrder(lastId);
  for (const id of ids) order.record(id);
  return order;
}

test("after ids that count events the next one follows without a gap", (t) => {
  for (const ids of [["0"], ["1"], ["1", "2"], ["7", "8"]]) {
    const order = orderOf(ids);
    const last = Number(ids.at(-1));
    t.deepEqual([last, last + 1, last + 2].map((id) => order.positionOf(String(id))), [
      Earlier,
      Next,
      AfterGap,
    ]);
  }
});

test("ids that increase by another step or by varying ones are followed", (t) => {
  t.deepEqual(["15", "20", "30"].map((id) => orderOf(["10", "20"]).positionOf(id)), [Earlier, Earlier, Next]);
  t.is(orderOf(["10", "20"]).positionOf("40"), AfterGap);
  t.is(orderOf(["1", "4", "5"]).positionOf("9"), Next);
});

test("a caller that resumes a stream does not tell the step", (t) => {
  const order = orderOf([], "12");
  t.deepEqual(["12", "13", "15"].map((id) => order.positionOf(id)), [Earlier, Next, Next]);
  t.true(order.canResume);
});

test("a caller may state that it has received no event", (t) => {
  const order = orderOf([], "");
  t.deepEqual([order.lastId, order.positionOf("1")], [undefined, Next]);
});

test("events without a number have no place, and a stream with them cannot be resumed", (t) => {
  for (const id of [undefined, "", "three", "-3", "1e3", "3.5", "9".repeat(17)]) {
    t.is(orderOf(["1", "2"]).positionOf(id), Unordered);
    t.false(orderOf(["1", "2", id]).canResume);
  }
  t.is(orderOf(["one"]).positionOf("2"), Unordered);
  t.false(orderOf([]).canResume);
  t.true(orderOf(["1", "2"]).canResume);
});
