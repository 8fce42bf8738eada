import test from "ava";
import { BoundedLabel, OTHER_LABEL } from "./bounded_label.ts";

test("values beyond the maximum share one label, also when earlier ones return", (t) => {
  const label = new BoundedLabel(2);
  t.deepEqual(["a", "b", "c", "a", "d"].map((value) => label.labelOf(value)), [
    "a",
    "b",
    OTHER_LABEL,
    "a",
    OTHER_LABEL,
  ]);
});
