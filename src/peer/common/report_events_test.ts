import test from "ava";
import { create, toBinary } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { LoadDigestSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { EventRelay } from "./report_events.ts";

type DigestInit = MessageInitShape<typeof LoadDigestSchema>;

function relayed(now: () => number, inits: readonly DigestInit[]) {
  const relay = new EventRelay(now);
  for (const init of inits) relay.add(create(LoadDigestSchema, init));
  return relay.take();
}

/** Events of all kinds that are as long as real ones can be. */
function longEvents(index: number): DigestInit {
  const backendId = `backend-server-of-zone-${index}`;
  const keys = Array.from({ length: 12 }, () => ({ hash: 2n ** 63n, parts: 4095 }));
  const run = { backendId, startedAtMs: 1.5e12 };
  return {
    strikeChanges: [{
      strike: { ...run, fingerprint: BigInt(index), level: 3, atMs: 1.5e12, sentAtMs: 1.5e12, keys },
    }],
    prefixes: [{ backendId, partId: `part-of-a-long-prompt-${index}`, tokens: 30_000 }],
    streams: [{
      attemptId: `attempt-of-a-caller-with-a-long-name-${index}`,
      service: "service",
      softwareVersion: "2026.12.04-1",
      atMs: 1.5e12,
      contentKey: 2n ** 63n,
    }],
    leaving: [run],
    limits: [{ run, perSecond: 12.5, ageMs: 1234.5 }],
    latencySamples: [{ routeHash: 2n ** 63n, latencyMs: 30_000 }],
    serverAnswers: [{ run, answers: 1000, failures: 500 }],
  };
}

test("a message with as many events as are passed on at once and the loads of 300 servers is below 60 KB", (t) => {
  const events = relayed(() => 0, Array.from({ length: 1000 }, (_, index) => longEvents(index)));
  const loads = Array.from(
    { length: 300 },
    (_, index) => ({ backendId: `backend-server-${index}`, running: 30 }),
  );
  const { length } = toBinary(LoadDigestSchema, create(LoadDigestSchema, { ...events, loads }));
  t.true(length < 60_000, String(length));
  t.is(events.streams.at(-1)?.attemptId, "attempt-of-a-caller-with-a-long-name-999");
});

test("the age of a limit grows while it waits to be passed on", (t) => {
  let nowMs = 0;
  const relay = new EventRelay(() => nowMs);
  relay.add(create(LoadDigestSchema, { limits: [{ run: { backendId: "s", startedAtMs: 1 }, ageMs: 50 }] }));
  nowMs = 120;
  t.is(relay.take().limits[0].ageMs, 170);
});

test("the same event is passed on again no sooner than 100 ms later", (t) => {
  let nowMs = 0;
  const relay = new EventRelay(() => nowMs);
  const counts = [0, 60, 120, 180].map((atMs) => {
    nowMs = atMs;
    relay.add(create(LoadDigestSchema, { leaving: [{ backendId: "s", startedAtMs: 1 }] }));
    return relay.take().leaving.length;
  });
  t.deepEqual(counts, [1, 0, 1, 0]);
});
