import test from "ava";
import { ServerLimits } from "../../services/backends/common/server_limits.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { KnownInstances } from "../../call/common/known_instances.ts";
import { LimitForwarder } from "./limit_forwarder.ts";

const OWNED = { backendId: "owned", startedAtMs: 1 };

function makeForwarder({ isAggregator = false } = {}) {
  const clock = { nowMs: 10_000 };
  const now = () => clock.nowMs;
  const limits = new ServerLimits(new NullLogger(), now);
  const instances = new KnownInstances(now);
  const recordReport = (host: string) => instances.recordReport(host, { isCutOff: false });
  const forwarder = new LimitForwarder({
    instances,
    limits,
    isOwner: (id) => id === OWNED.backendId,
    peers: () => ["peer"],
    isAggregator: () => isAggregator,
    now,
  });
  return { clock, limits, forwarder, recordReport };
}

test("changes of owned limits go to the reporters that own no slices", (t) => {
  const { limits, forwarder, recordReport } = makeForwarder();
  for (const sender of ["peer", "other"]) recordReport(sender);
  limits.record(OWNED, 4);
  limits.record({ backendId: "not owned", startedAtMs: 1 }, 4);
  const messages = forwarder.takeDue();
  t.deepEqual([...new Set(messages.flatMap(({ recipients }) => recipients))], ["other"]);
  t.deepEqual([...new Set(messages.flatMap(({ limits }) => limits.map(({ run }) => run.backendId)))], [
    "owned",
  ]);
  t.deepEqual(forwarder.takeDue(), []);
});

test("a change is forwarded about three times, its end too", (t) => {
  const { clock, limits, forwarder, recordReport } = makeForwarder();
  limits.record(OWNED, 4);
  recordReport("other");
  clock.nowMs += 5000;
  recordReport("other");
  limits.record(OWNED, undefined);
  let messages = 0;
  for (let round = 0; round < 100; round++) {
    messages += forwarder.takeDue().length;
    clock.nowMs += 100;
  }
  t.is(messages, 4);
});

test("an instance that reports for the first time is told of all limits", (t) => {
  const { clock, limits, forwarder, recordReport } = makeForwarder();
  limits.record(OWNED, 4);
  clock.nowMs += 60_000;
  t.deepEqual(forwarder.takeDue(), []);
  recordReport("other");
  t.deepEqual(forwarder.takeDue().map(({ recipients, limits }) => [recipients, limits[0].perSecond]), [[
    ["other"],
    4,
  ]]);
});

test("an aggregator tells all limits to new reporters, also those that it does not own, and leaves changes to reports", (t) => {
  const { clock, limits, forwarder, recordReport } = makeForwarder({ isAggregator: true });
  limits.record({ backendId: "not owned", startedAtMs: 1 }, 4);
  recordReport("old");
  clock.nowMs += 5000;
  recordReport("old");
  recordReport("new");
  limits.record(OWNED, 5);
  t.deepEqual(
    forwarder.takeDue().map((
      { recipients, limits },
    ) => [recipients, limits.map(({ perSecond }) => perSecond)]),
    [[["new"], [4, 5]]],
  );
});
