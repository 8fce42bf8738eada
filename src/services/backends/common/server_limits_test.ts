import test from "ava";
import { NullLogger } from "../../logging/common/logger.ts";
import { ServerLimits } from "./server_limits.ts";

const RUN = { backendId: "b", startedAtMs: 1 };

function makeLimits() {
  const clock = { nowMs: 1000 };
  return { clock, limits: new ServerLimits(new NullLogger(), () => clock.nowMs) };
}

test("a limit holds until it changes or ends", (t) => {
  const { limits } = makeLimits();
  t.is(limits.perSecond(RUN), undefined);
  const seen: (number | undefined)[] = [];
  for (const perSecond of [undefined, 4, 4, 0.5, undefined]) {
    limits.record(RUN, perSecond);
    seen.push(limits.perSecond(RUN));
  }
  t.deepEqual(seen, [undefined, 4, 4, 0.5, undefined]);
});

test("a limit that is not a number leaves what is known", (t) => {
  const { limits } = makeLimits();
  limits.record(RUN, NaN);
  t.is(limits.perSecond(RUN), undefined);
  limits.record(RUN, 4);
  limits.record(RUN, NaN);
  t.is(limits.perSecond(RUN), 4);
});

test("an older statement does not replace a newer one, in whichever order they arrive", (t) => {
  const { clock, limits } = makeLimits();
  limits.record(RUN, 4);
  clock.nowMs += 100;
  limits.record(RUN, undefined);
  limits.merge({ run: RUN, perSecond: 4, ageMs: 50 });
  t.is(limits.perSecond(RUN), undefined);
  limits.merge({ run: RUN, perSecond: 2, ageMs: 0 });
  t.is(limits.perSecond(RUN), 2);
});

test("a limit belongs to one run of a server", (t) => {
  const { limits } = makeLimits();
  const next = { ...RUN, startedAtMs: 2 };
  limits.record(RUN, 4);
  t.is(limits.perSecond(next), undefined);
  limits.record(next, 3);
  limits.merge({ run: RUN, perSecond: 4, ageMs: 0 });
  t.deepEqual([limits.perSecond(next), limits.perSecond(RUN)], [3, undefined]);
});

test("only recent changes are reported", (t) => {
  const { clock, limits } = makeLimits();
  limits.record(RUN, 4);
  t.deepEqual(limits.listRecentChanges(), [{ run: RUN, perSecond: 4, ageMs: 0 }]);
  clock.nowMs += 5000;
  limits.record(RUN, 4);
  t.deepEqual(limits.listRecentChanges(), []);
  t.is(limits.list().length, 1);
  limits.record(RUN, undefined);
  t.deepEqual(limits.listRecentChanges(), [{ run: RUN, perSecond: undefined, ageMs: 0 }]);
  t.deepEqual(limits.list(), []);
});
