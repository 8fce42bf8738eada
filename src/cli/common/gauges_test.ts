import test from "ava";
import { parseGauges } from "./gauges.ts";

test("series without labels are read and all others ignored", (t) => {
  const text = [
    "# TYPE ragwortcleat_slices_owned gauge",
    "ragwortcleat_slices_owned 3",
    'ragwortcleat_request_ms{quantile="0.5"} 4',
    "other_value 5",
    "ragwortcleat_odd NaN",
    "",
  ].join("\n");
  t.deepEqual(parseGauges(text), { slices_owned: 3 });
});
