import test from "ava";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import type { IStrikeChange } from "./crash_monitor.ts";
import { CrashMonitor } from "./crash_monitor.ts";
import { AttemptResult } from "./observed_attempt.ts";
import { RequestIdentity } from "./request_identity.ts";

function identityOf(text: string, affinityKey = "c"): RequestIdentity {
  const body = Buffer.from(text);
  return new RequestIdentity({ method: "POST", host: "h", target: "/x", body, affinityKey });
}

function entryOf(id: string, startedAtMs = 1): IBackendEntry {
  return { id, startedAtMs, service: "s", host: "h", port: 1, zone: "z", slots: 4, isDraining: false };
}

class Instance {
  readonly monitor: CrashMonitor;
  readonly changes: IStrikeChange[] = [];

  constructor(clock: { now: number }) {
    const metrics = new Metrics();
    this.monitor = new CrashMonitor({ logger: new NullLogger(), metrics, now: () => clock.now });
    this.monitor.onDidChange((change) => this.changes.push(change));
  }

  attempt(identity: RequestIdentity, { server, result }: { server: string; result: AttemptResult }): void {
    const observed = this.monitor.observe(identity, { requestId: "r", backend: entryOf(server) });
    observed.result = result;
    this.monitor.finish(observed);
  }

  crash(identity: RequestIdentity, ...servers: string[]): void {
    for (const server of servers) this.attempt(identity, { server, result: AttemptResult.ConnectionLost });
  }
}

function setUp(count = 1) {
  const clock = { now: 0 };
  return { clock, instances: Array.from({ length: count }, () => new Instance(clock)) };
}

test("a request without body and affinity key is recognized", (t) => {
  const { clock, instances: [a] } = setUp();
  a.crash(identityOf("", ""), "s1", "s2", "s3");
  clock.now = 1000;
  t.true(a.monitor.isQuarantined(identityOf("", "")));
  t.false(a.monitor.isQuarantined(identityOf("", "other")));
});

test("requests that differ in a single part of their content are distinguished", (t) => {
  const content = { method: "GET", host: "h", target: "/x", body: Buffer.from("b"), affinityKey: "c" };
  const variants = [
    content,
    { ...content, method: "PUT" },
    { ...content, host: "i" },
    { ...content, target: "/y" },
    { ...content, body: Buffer.from("d") },
    { ...content, affinityKey: "e" },
  ];
  const fingerprints = variants.map((variant) => new RequestIdentity(variant).fingerprint);
  t.is(new Set(fingerprints).size, variants.length);
  t.is(new RequestIdentity({ ...content }).fingerprint, fingerprints[0]);
});

test("strikes of different instances add up, also when reported repeatedly", (t) => {
  const { clock, instances: [a, b, c] } = setUp(3);
  const exchange = () => {
    for (const from of [a, b, c]) {
      for (const change of from.monitor.recentChanges()) {
        for (const to of [a, b, c]) to.monitor.merge(change);
      }
    }
  };
  a.crash(identityOf("bad"), "s1");
  exchange();
  b.crash(identityOf("bad"), "s2");
  exchange();
  exchange();
  c.crash(identityOf("bad"), "s3");
  exchange();
  clock.now = 1000;
  for (const { monitor } of [a, b, c]) t.true(monitor.isQuarantined(identityOf("bad")));
});

test("a completed request is cleared on this and the other instances", (t) => {
  const { clock, instances: [a, b] } = setUp(2);
  a.crash(identityOf("bad"), "s1", "s2", "s3");
  for (const change of a.changes) b.monitor.merge(change);
  clock.now = 1000;
  t.true(b.monitor.isQuarantined(identityOf("bad")));
  a.attempt(identityOf("bad"), { server: "s4", result: AttemptResult.Succeeded });
  for (const change of a.changes) b.monitor.merge(change);
  t.false(a.monitor.isSuspect(identityOf("bad")));
  t.false(b.monitor.isSuspect(identityOf("bad")));
});

test("an error response or a refusal by a server does not clear a request", (t) => {
  const { clock, instances: [a] } = setUp();
  a.crash(identityOf("bad"), "s1", "s2", "s3");
  for (const result of [AttemptResult.Responded, AttemptResult.NotStarted, AttemptResult.Unknown]) {
    a.attempt(identityOf("bad"), { server: "s4", result });
  }
  clock.now = 1000;
  t.true(a.monitor.isQuarantined(identityOf("bad")));
});

test("a suspect is not sent to a server run that it has crashed, unless there is no other", (t) => {
  const { instances: [a] } = setUp();
  a.crash(identityOf("bad"), "s1");
  const ids = (entries: readonly IBackendEntry[]) => entries.map(({ id }) => id);
  t.deepEqual(ids(a.monitor.withoutStruck(identityOf("bad"), [entryOf("s1"), entryOf("s2")])), ["s2"]);
  t.deepEqual(ids(a.monitor.withoutStruck(identityOf("bad"), [entryOf("s1", 2)])), ["s1"]);
  t.deepEqual(ids(a.monitor.withoutStruck(identityOf("bad"), [entryOf("s1")])), ["s1"]);
});

test("changes are reported for a limited time", (t) => {
  const { clock, instances: [a] } = setUp();
  a.crash(identityOf("bad"), "s1");
  t.is(a.monitor.recentChanges().length, 1);
  clock.now = 3001;
  t.deepEqual(a.monitor.recentChanges(), []);
});

test("a server that ends silently strikes the requests whose end is unknown, and no others", (t) => {
  const { instances: [a] } = setUp();
  const endings = [
    ["unknown", AttemptResult.Unknown],
    ["completed", AttemptResult.Succeeded],
    ["refused", AttemptResult.NotStarted],
    ["error", AttemptResult.Responded],
  ] as const;
  for (const [text, result] of endings) a.attempt(identityOf(text), { server: "s1", result });
  a.attempt(identityOf("elsewhere"), { server: "s2", result: AttemptResult.Unknown });
  t.false(a.monitor.isSuspect(identityOf("unknown")));
  a.monitor.serverEnded(entryOf("s1"));
  t.true(a.monitor.isSuspect(identityOf("unknown")));
  for (const text of ["completed", "refused", "error", "elsewhere"]) {
    t.false(a.monitor.isSuspect(identityOf(text)), text);
  }
});

test("a request that runs on a server when it disappears is struck only if it does not complete", (t) => {
  const { instances: [a] } = setUp();
  for (const result of [AttemptResult.Succeeded, AttemptResult.Unknown]) {
    const observed = a.monitor.observe(identityOf(result), { requestId: "r", backend: entryOf("s1") });
    a.monitor.serverEnded(entryOf("s1"));
    t.false(a.monitor.isSuspect(identityOf(result)));
    observed.result = result;
    a.monitor.finish(observed);
    t.is(a.monitor.isSuspect(identityOf(result)), result === AttemptResult.Unknown);
  }
});

test("a server that drained before it ended strikes nobody", (t) => {
  const { instances: [a] } = setUp();
  a.attempt(identityOf("left"), { server: "s1", result: AttemptResult.Unknown });
  a.monitor.serverEnded({ ...entryOf("s1"), isDraining: true });
  t.false(a.monitor.isSuspect(identityOf("left")));
});

test("an attempt with an unknown end is forgotten if its server ends much later", (t) => {
  const { clock, instances: [a] } = setUp();
  a.attempt(identityOf("old"), { server: "s1", result: AttemptResult.Unknown });
  clock.now = 60_001;
  a.monitor.serverEnded(entryOf("s1"));
  t.false(a.monitor.isSuspect(identityOf("old")));
});

test("strikes on a server that proves to be alive are withdrawn", (t) => {
  const { clock, instances: [a] } = setUp();
  a.crash(identityOf("lost"), "s1", "s2");
  for (clock.now = 0; clock.now < 3000; clock.now += 500) a.monitor.serverRenewed(entryOf("s1"));
  t.is(a.monitor.strikeCount, 2);
  clock.now = 3600;
  a.monitor.serverRenewed(entryOf("s1"));
  t.is(a.monitor.strikeCount, 2);
  a.monitor.serverRenewed(entryOf("s1"));
  t.is(a.monitor.strikeCount, 1);
  t.deepEqual(a.changes.filter(({ isWithdrawn }) => isWithdrawn).map(({ strike }) => strike.backendId), [
    "s1",
  ]);
});

// Guards against requests that are refused for half an hour because all instances have lost power after false strikes.
test("strikes of an instance that is lost do not count once their servers prove to be alive", (t) => {
  const { clock, instances: [lost, next] } = setUp(2);
  lost.crash(identityOf("lost"), "s1", "s2", "s3");
  clock.now = 120_000;
  for (const change of lost.monitor.listChanges()) next.monitor.merge(change);
  next.monitor.evict();
  t.true(next.monitor.isQuarantined(identityOf("lost")));
  // The first heartbeat that an instance sees after its start may be older than the crash.
  next.monitor.serverRenewed(entryOf("s1"));
  next.monitor.serverRenewed(entryOf("s2", 2));
  next.monitor.serverRenewed(entryOf("s2", 2));
  t.is(next.monitor.strikeCount, 3);
  next.monitor.serverRenewed(entryOf("s1"));
  t.is(next.monitor.strikeCount, 2);
  for (let heartbeats = 0; heartbeats < 2; heartbeats++) next.monitor.serverRenewed(entryOf("s3"));
  t.false(next.monitor.isQuarantined(identityOf("lost")));
  t.deepEqual(next.changes, []);
  for (const change of lost.monitor.listChanges()) next.monitor.merge(change);
  t.is(next.monitor.strikeCount, 1);
});

test("a strike that was reported right after a crash is not withdrawn for earlier heartbeats", (t) => {
  const { clock, instances: [a, b] } = setUp(2);
  a.crash(identityOf("bad"), "s1");
  for (const change of a.monitor.recentChanges()) b.monitor.merge(change);
  for (clock.now = 0; clock.now < 3000; clock.now += 500) b.monitor.serverRenewed(entryOf("s1"));
  t.is(b.monitor.strikeCount, 1);
});

test("heartbeats of a restarted server prove nothing about its earlier run", (t) => {
  const { clock, instances: [a] } = setUp();
  a.crash(identityOf("bad"), "s1");
  a.monitor.serverEnded(entryOf("s1"));
  clock.now = 5000;
  for (let i = 0; i < 3; i++) a.monitor.serverRenewed(entryOf("s1", 2));
  t.true(a.monitor.isSuspect(identityOf("bad")));
});

test("an attempt with an unknown end is forgotten once its server has proved to be alive", (t) => {
  const { clock, instances: [a] } = setUp();
  a.attempt(identityOf("left"), { server: "s1", result: AttemptResult.Unknown });
  clock.now = 4000;
  for (let i = 0; i < 2; i++) a.monitor.serverRenewed(entryOf("s1"));
  a.monitor.serverEnded(entryOf("s1"));
  t.false(a.monitor.isSuspect(identityOf("left")));
});

test("strikes are withdrawn if the server run that seemed to have ended is listed again and alive", (t) => {
  const { clock, instances: [a] } = setUp();
  a.attempt(identityOf("left"), { server: "s1", result: AttemptResult.Unknown });
  a.crash(identityOf("lost"), "s1");
  a.monitor.serverEnded(entryOf("s1"));
  t.is(a.monitor.strikeCount, 2);
  clock.now = 3500;
  for (let i = 0; i < 2; i++) a.monitor.serverRenewed(entryOf("s1"));
  t.is(a.monitor.strikeCount, 0);
});

test("an attempt that another instance has reported is struck once when its server ends", (t) => {
  const { clock, instances: [a, b] } = setUp(2);
  a.attempt(identityOf("left"), { server: "s1", result: AttemptResult.Unknown });
  for (let i = 0; i < 3; i++) for (const change of a.monitor.recentChanges()) b.monitor.merge(change);
  t.false(b.monitor.isSuspect(identityOf("left")));
  b.monitor.serverEnded(entryOf("s1"));
  t.is(b.changes.length, 1);
  t.true(b.monitor.isSuspect(identityOf("left")));
  clock.now = 501;
  t.deepEqual(a.monitor.recentChanges(), []);
});

test("an attempt that another instance has reported is forgotten once its server proves to be alive", (t) => {
  const { clock, instances: [a, b] } = setUp(2);
  a.attempt(identityOf("left"), { server: "s1", result: AttemptResult.Unknown });
  for (const change of a.monitor.recentChanges()) b.monitor.merge(change);
  clock.now = 4000;
  for (let i = 0; i < 2; i++) b.monitor.serverRenewed(entryOf("s1"));
  b.monitor.serverEnded(entryOf("s1"));
  t.false(b.monitor.isSuspect(identityOf("left")));
});

test("an instance that starts gets strikes and pending ones from another", (t) => {
  const { instances: [a, b] } = setUp(2);
  a.crash(identityOf("bad"), "s1", "s2");
  a.attempt(identityOf("left"), { server: "s3", result: AttemptResult.Unknown });
  for (const change of a.monitor.listChanges()) b.monitor.merge(change);
  t.is(b.monitor.strikeCount, 2);
  b.monitor.serverEnded(entryOf("s3"));
  t.true(b.monitor.isSuspect(identityOf("left")));
});
