import test from "ava";
import { StreamOriginRegistry } from "./stream_origin_registry.ts";

const ORIGIN = { service: "s", softwareVersion: "v1" };

function streamOf(attemptId: string, contentKey = 7n) {
  return { attemptId, contentKey };
}

function setUp() {
  const clock = { now: 100_000 };
  return { clock, registry: new StreamOriginRegistry(() => clock.now) };
}

test("a begun stream is known, reported for a while, and forgotten after its retention", (t) => {
  const { clock, registry } = setUp();
  registry.record(streamOf("a"), ORIGIN);
  t.is(registry.find(streamOf("a"))?.softwareVersion, "v1");
  t.is(registry.recentStreams().length, 1);
  clock.now += 251;
  t.deepEqual(registry.recentStreams(), []);
  t.is(registry.ownStreams().length, 1);
  clock.now += 30_000;
  t.is(registry.find(streamOf("a")), undefined);
  t.is(registry.ownStreams().length, 0);
});

test("the first report on a stream counts", (t) => {
  const { clock, registry } = setUp();
  registry.add({ ...streamOf("a"), service: "s", softwareVersion: "v1", atMs: clock.now });
  registry.add({ ...streamOf("a"), service: "s", softwareVersion: "v2", atMs: clock.now });
  t.is(registry.find(streamOf("a"))?.softwareVersion, "v1");
  t.deepEqual(registry.ownStreams(), []);
});

test("a stream of an unknown software version is not recorded", (t) => {
  const { registry } = setUp();
  registry.record(streamOf("a"), { service: "s", softwareVersion: undefined });
  t.is(registry.size, 0);
});

test("the number of remembered streams is bounded", (t) => {
  const { clock, registry } = setUp();
  for (let index = 0; index < 20_100; index++) {
    registry.add({ ...streamOf(`${index}`), ...ORIGIN, atMs: clock.now });
  }
  t.is(registry.size, 20_000);
  t.is(registry.find(streamOf("0")), undefined);
  t.not(registry.find(streamOf("20099")), undefined);
});

test("a stream of a former run of the instance stays among its own", (t) => {
  const { clock, registry } = setUp();
  registry.restore({ ...streamOf("a"), ...ORIGIN, atMs: clock.now - 1000 });
  registry.record(streamOf("b"), ORIGIN);
  t.deepEqual(registry.ownStreams().map(({ attemptId }) => attemptId), ["a", "b"]);
});

test("a stream is found by its content if its caller names no attempt", (t) => {
  const { clock, registry } = setUp();
  registry.record(streamOf("a", 1n), ORIGIN);
  registry.record(streamOf("b", 1n), ORIGIN);
  const byContent = { attemptId: undefined, contentKey: 1n };
  t.is(registry.find(byContent)?.softwareVersion, "v1");
  t.is(registry.find({ attemptId: undefined, contentKey: 2n }), undefined);
  clock.now += 30_001;
  t.is(registry.find(byContent), undefined);
});

test("a stream whose tries began at different software versions is not found by its content", (t) => {
  const { registry } = setUp();
  registry.record(streamOf("a", 1n), ORIGIN);
  registry.record(streamOf("b", 1n), { service: "s", softwareVersion: "v2" });
  t.is(registry.find({ attemptId: undefined, contentKey: 1n }), undefined);
  t.is(registry.find(streamOf("b", 1n))?.softwareVersion, "v2");
});
