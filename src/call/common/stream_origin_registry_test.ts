import test from "ava";
import { StreamOriginRegistry } from "./stream_origin_registry.ts";

const ORIGIN = { service: "s", softwareVersion: "v1" };

function setUp() {
  const clock = { now: 100_000 };
  return { clock, registry: new StreamOriginRegistry(() => clock.now) };
}

test("a begun stream is known, reported for a while, and forgotten after its retention", (t) => {
  const { clock, registry } = setUp();
  registry.record("a", ORIGIN);
  t.is(registry.get("a")?.softwareVersion, "v1");
  t.is(registry.recentStreams().length, 1);
  clock.now += 251;
  t.deepEqual(registry.recentStreams(), []);
  t.is(registry.ownStreams().length, 1);
  clock.now += 30_000;
  t.is(registry.get("a"), undefined);
  t.is(registry.ownStreams().length, 0);
});

test("the first report on a stream counts", (t) => {
  const { clock, registry } = setUp();
  registry.add({ attemptId: "a", service: "s", softwareVersion: "v1", atMs: clock.now });
  registry.add({ attemptId: "a", service: "s", softwareVersion: "v2", atMs: clock.now });
  t.is(registry.get("a")?.softwareVersion, "v1");
  t.deepEqual(registry.ownStreams(), []);
});

test("a stream of an unknown software version is not recorded", (t) => {
  const { registry } = setUp();
  registry.record("a", { service: "s", softwareVersion: undefined });
  t.is(registry.size, 0);
});

test("the number of remembered streams is bounded", (t) => {
  const { clock, registry } = setUp();
  for (let index = 0; index < 20_100; index++) {
    registry.add({ attemptId: `${index}`, ...ORIGIN, atMs: clock.now });
  }
  t.is(registry.size, 20_000);
  t.is(registry.get("0"), undefined);
  t.not(registry.get("20099"), undefined);
});

test("a stream of a former run of the instance stays among its own", (t) => {
  const { clock, registry } = setUp();
  registry.restore({ attemptId: "a", ...ORIGIN, atMs: clock.now - 1000 });
  registry.record("b", ORIGIN);
  t.deepEqual(registry.ownStreams().map(({ attemptId }) => attemptId), ["a", "b"]);
});
