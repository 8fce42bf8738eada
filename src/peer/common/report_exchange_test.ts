import test from "ava";
import { create } from "@bufbuild/protobuf";
import type { LoadDigest } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { LoadDigestSchema, ReportKind } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { CrashMonitor } from "../../call/common/crash_monitor.ts";
import { KnownInstances } from "../../call/common/known_instances.ts";
import { StreamOriginRegistry } from "../../call/common/stream_origin_registry.ts";
import { BackendLoadTracker } from "../../routing/common/backend_load_tracker.ts";
import { PromptCacheIndex } from "../../routing/common/prompt_cache_index.ts";
import { LeavingServers } from "../../services/backends/common/leaving_servers.ts";
import { ServerLimits } from "../../services/backends/common/server_limits.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { Metrics } from "../../services/metrics/common/metrics.ts";
import { LimitForwarder } from "./limit_forwarder.ts";
import { ReportContents } from "./report_contents.ts";
import { ReportExchange, ReportRole } from "./report_exchange.ts";

const INTERVAL_MS = 150;
const SERVER = {
  service: "s",
  host: "h",
  port: 1,
  zone: "z",
  slots: 4,
  isDraining: false,
  startedAtMs: 0,
};
const STEP_MS = 5;

class Instance {
  readonly loads: BackendLoadTracker;
  readonly streams: StreamOriginRegistry;
  readonly leaving: LeavingServers;
  readonly instances: KnownInstances;
  readonly exchange: ReportExchange;
  readonly links = { isCutOff: false };
  ownerHosts: readonly string[] = [];

  constructor(readonly host: string, now: () => number) {
    const logger = new NullLogger();
    const metrics = new Metrics();
    this.loads = new BackendLoadTracker(now);
    this.streams = new StreamOriginRegistry(now);
    this.leaving = new LeavingServers(logger, now);
    this.instances = new KnownInstances(now);
    const limits = new ServerLimits(logger, now);
    const { loads, streams, leaving, instances, links } = this;
    const crashes = new CrashMonitor({ logger, metrics, now });
    const caches = new PromptCacheIndex();
    this.exchange = new ReportExchange({
      instance: `i-${host}`,
      host,
      ownerHosts: () => this.ownerHosts,
      contents: new ReportContents({
        loads,
        caches,
        crashes,
        streams,
        leaving,
        limits,
        links,
        hedging: undefined,
      }),
      loads,
      streams,
      instances,
      limitForwarder: new LimitForwarder({
        limits,
        isOwner: () => false,
        peers: () => [],
        instances,
        isAggregator: () => this.exchange.role === ReportRole.Aggregator,
        now,
      }),
      metrics,
      logger,
      now,
    });
  }

  /** Has this instance run a number of requests on the server. */
  run(count: number): void {
    for (let index = 0; index < count; index++) this.loads.recordRequestStart("s");
  }
}

/** Instances `h0`, `h1`, ... of which the first ones own a slice each, or share the slices evenly if there are fewer. */
class Network {
  nowMs = 100_000;
  readonly instances = new Map<string, Instance>();
  readonly frozen = new Set<string>();
  readonly sent: { readonly from: string; readonly to: string; readonly digest: LoadDigest }[] = [];
  isLost: (from: string, to: string) => boolean = () => false;

  constructor(count: number, slices: number) {
    const hosts = Array.from({ length: count }, (_, index) => `h${index}`);
    for (const host of hosts) this.instances.set(host, new Instance(host, () => this.nowMs));
    this.setOwners(Array.from({ length: slices }, (_, slice) => hosts[slice % count]));
  }

  get all(): Instance[] {
    return [...this.instances.values()].filter(({ host }) => !this.frozen.has(host));
  }

  withRole(role: ReportRole): Instance[] {
    return this.all.filter(({ exchange }) => exchange.role === role);
  }

  setOwners(ownerHosts: readonly string[]): void {
    for (const instance of this.instances.values()) instance.ownerHosts = ownerHosts;
  }

  advance(ms: number): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      this.nowMs += STEP_MS;
      for (const { host, exchange } of this.all) {
        for (const { recipients, digest } of exchange.takeDue()) {
          for (const to of recipients) {
            this.sent.push({ from: host, to, digest });
            if (this.frozen.has(to) || this.isLost(host, to)) continue;
            this.instances.get(to)!.exchange.receive(digest, host);
          }
        }
      }
    }
  }

  /** Loads of the server as the instances know them, without duplicates. */
  get knownLoads(): number[] {
    return [...new Set(this.all.map(({ loads }) => loads.running("s")))];
  }

  /** Number of messages that an instance sends in one interval, on average. */
  sentPerInterval(host: string, intervals: number): number {
    return this.sent.filter(({ from }) => from === host).length / intervals;
  }
}

/** A network in which each instance runs one request more than the one before. */
function loadedNetwork(count: number, slices = 32): { network: Network; total: number } {
  const network = new Network(count, slices);
  network.advance(1500);
  network.all.forEach((instance, index) => instance.run(index));
  return { network, total: count * (count - 1) / 2 };
}

test("a load is known everywhere three intervals after it began", (t) => {
  const { network, total } = loadedNetwork(88);
  network.advance(3 * INTERVAL_MS);
  t.deepEqual(network.knownLoads, [total]);
  t.deepEqual([...new Set(network.all.map(({ exchange }) => exchange.instanceCount))], [88]);
});

// Guards against instances without a slice that know no load but their own: the platform may assign several slices to few.
test("where 16 of 88 instances own two slices each, a load is known everywhere three intervals later", (t) => {
  const network = new Network(88, 32);
  network.setOwners(Array.from({ length: 32 }, (_, slice) => `h${slice % 16}`));
  network.advance(1500);
  network.all.forEach((instance, index) => instance.run(index));
  network.advance(3 * INTERVAL_MS);
  t.deepEqual(network.knownLoads, [88 * 87 / 2]);
  t.deepEqual([...new Set(network.all.map(({ exchange }) => exchange.instanceCount))], [88]);
});

// Guards against instances without a slice where few instances own all slices: they knew no load but their own.
test("where 8 of 11 instances own four slices each, a load is known everywhere three intervals later", (t) => {
  const network = new Network(11, 32);
  network.setOwners(Array.from({ length: 32 }, (_, slice) => `h${slice % 8}`));
  network.advance(1500);
  network.all.forEach((instance, index) => instance.run(index));
  network.advance(3 * INTERVAL_MS);
  t.deepEqual(network.knownLoads, [11 * 10 / 2]);
  network.setOwners(Array.from({ length: 32 }, (_, slice) => `h${slice % 11}`));
  network.advance(3000);
  t.is(network.withRole(ReportRole.Direct).length, 11);
  t.deepEqual(network.knownLoads, [11 * 10 / 2]);
});

test("the loads of 13 to 31 instances, some of which own several slices, are known everywhere through aggregators", (t) => {
  for (const count of [13, 20, 31]) {
    const { network, total } = loadedNetwork(count);
    network.advance(3 * INTERVAL_MS);
    t.deepEqual(network.knownLoads, [total]);
    t.is(network.withRole(ReportRole.Aggregator).length, 12);
  }
});

test("loads are counted once from a second after the number of owners has passed that of aggregators, up or down", (t) => {
  const { network, total } = loadedNetwork(13);
  for (const owners of [12, 13, 12]) {
    network.setOwners(Array.from({ length: 32 }, (_, slice) => `h${slice % owners}`));
    if (owners === 12) network.frozen.add("h12");
    else network.frozen.delete("h12");
    network.advance(3000);
    t.deepEqual(network.knownLoads, [owners === 12 ? total - 12 : total]);
  }
});

test("where up to 12 instances own several slices, reports go to all owners every 100 ms", (t) => {
  for (const count of [4, 12]) {
    const intervalMs = 100;
    const { network, total } = loadedNetwork(count);
    network.sent.length = 0;
    network.advance(1000 * intervalMs / STEP_MS);
    t.deepEqual(network.knownLoads, [total]);
    t.true(network.all.every(({ exchange }) => exchange.role === ReportRole.Direct));
    const expected = (count - 1) * 1000 / STEP_MS;
    const counts = network.all.slice(1).map(({ host }) => network.sentPerInterval(host, 1));
    // The interval is rounded up to steps of the clock.
    t.true(counts.every((sent) => sent <= expected && sent >= expected * 0.96), `${counts}, ${expected}`);
    t.true(network.sent.every(({ digest }) => digest.kind === ReportKind.UNSPECIFIED));
  }
});

test("an interval has one message from each member, and 11 and one for each member from an aggregator", (t) => {
  const { network } = loadedNetwork(88);
  network.all[0].run(1);
  network.advance(1500);
  network.sent.length = 0;
  network.advance(10 * INTERVAL_MS);
  const aggregators = network.withRole(ReportRole.Aggregator);
  t.is(aggregators.length, 12);
  for (const { host, exchange } of aggregators) {
    t.is(network.sentPerInterval(host, 10), 11 + exchange.memberCount);
  }
  for (const { host } of network.withRole(ReportRole.Member)) t.is(network.sentPerInterval(host, 10), 1);
  t.is(aggregators.reduce((sum, { exchange }) => sum + exchange.memberCount, 0), 76);
});

test("without anything to report, messages are sent every 600 ms", (t) => {
  const network = new Network(88, 32);
  network.advance(3000);
  network.sent.length = 0;
  network.advance(6000);
  for (const { host } of network.withRole(ReportRole.Member)) t.is(network.sentPerInterval(host, 1), 10);
});

test("members of a frozen aggregator report to others within 700 ms and an interval, and return", (t) => {
  const { network, total } = loadedNetwork(88);
  network.advance(1500);
  const [lost] = network.withRole(ReportRole.Aggregator);
  const own = Number(lost.host.slice(1));
  const members = lost.exchange.memberCount;
  t.true(members > 0);
  network.frozen.add(lost.host);
  network.advance(700 + 2 * INTERVAL_MS);
  const late = network.sent.length;
  network.advance(INTERVAL_MS);
  t.false(
    network.sent.slice(late).some(({ to, digest }) => to === lost.host && digest.kind === ReportKind.MEMBER),
  );
  network.advance(1500);
  t.deepEqual(network.knownLoads, [total - own]);
  network.frozen.delete(lost.host);
  network.advance(5000);
  t.is(lost.exchange.memberCount, members);
  t.deepEqual(network.knownLoads, [total]);
});

test("a member that has changed its aggregator is counted once from a second later on", (t) => {
  const { network, total } = loadedNetwork(40);
  network.advance(1500);
  const owners = network.all[0].ownerHosts;
  network.setOwners(owners.map((host, slice) => slice < 8 ? `h${32 + slice}` : host));
  network.advance(1000);
  for (let step = 0; step < 100; step++) {
    network.advance(20);
    t.deepEqual(network.knownLoads, [total]);
  }
});

test("lost messages are made up for by later ones", (t) => {
  const { network, total } = loadedNetwork(88);
  let count = 0;
  network.isLost = () => ++count % 5 === 0;
  network.advance(3000);
  network.isLost = () => false;
  network.advance(2000);
  t.deepEqual(network.knownLoads, [total]);
});

test("an instance that a member takes for an aggregator acts as one, although its own table says otherwise", (t) => {
  const { network, total } = loadedNetwork(40);
  const [member, other] = network.withRole(ReportRole.Member);
  member.ownerHosts = [other.host];
  network.advance(4000);
  t.is(other.exchange.memberCount, 1);
  t.deepEqual(network.knownLoads, [total]);
  network.setOwners(network.all[0].ownerHosts);
  network.advance(4000);
  t.is(other.exchange.role, ReportRole.Member);
  t.deepEqual(network.knownLoads, [total]);
});

test("events reach everyone and do not circulate", (t) => {
  const network = new Network(88, 32);
  network.advance(3000);
  const [member] = network.withRole(ReportRole.Member);
  const run = { backendId: "s", startedAtMs: 1 };
  member.leaving.recordAnnouncement(run);
  member.streams.record({ attemptId: "a", contentKey: 1n }, { service: "e", softwareVersion: "v" });
  network.sent.length = 0;
  network.advance(30);
  const informed = network.all.filter(({ streams }) =>
    streams.list({ attemptId: "a", contentKey: 1n }).length > 0
  );
  t.true(network.withRole(ReportRole.Aggregator).every((instance) => informed.includes(instance)));
  network.advance(2 * INTERVAL_MS);
  t.true(network.all.every(({ leaving }) => leaving.has(run)));
  network.advance(6000);
  const carrying = network.sent.filter(({ digest }) => digest.leaving.length > 0);
  const repetitions = carrying.filter(({ from }) => from === member.host).length;
  // The origin's message, those to the other aggregators, and the summaries to all members.
  t.is(carrying.length, repetitions * (1 + 11 + 76));
  network.sent.length = 0;
  network.advance(3000);
  t.false(network.sent.some(({ digest }) => digest.leaving.length + digest.streams.length > 0));
});

// Guards against each of many instances failing several requests of its own before it passes a failing server over.
test("a server that fails a request of some instances is known to all as failing", (t) => {
  for (const count of [10, 88]) {
    const { network } = loadedNetwork(count);
    const servers = ["s", "x", "y"].map((id) => ({ ...SERVER, id }));
    for (const { loads } of network.all.slice(0, 8)) {
      for (const server of servers) loads.failureRates.recordAnswer(server, { isFailed: server.id === "x" });
    }
    network.advance(3 * INTERVAL_MS);
    const known = network.all.map(({ loads }) => [...loads.failureRates.failingAmong(servers).keys()].join());
    t.deepEqual([...new Set(known)], ["x"], `${count} instances`);
  }
});

test("an instance that is cut off is known to all as such", (t) => {
  const network = new Network(88, 32);
  network.advance(3000);
  const [member] = network.withRole(ReportRole.Member);
  member.links.isCutOff = true;
  network.advance(3 * INTERVAL_MS);
  t.true(
    network.all.every(({ instances }) => instances.isCutOff(member.host) || instances === member.instances),
  );
});

test("reports of a former build to all owners are counted once", (t) => {
  const { network, total } = loadedNetwork(87);
  const owners = network.all[0].ownerHosts;
  network.instances.set("old-host", new Instance("old-host", () => network.nowMs));
  network.frozen.add("old-host");
  const digest = create(LoadDigestSchema, { instance: "old", loads: [{ backendId: "s", running: 5 }] });
  for (let round = 0; round < 20; round++) {
    for (const host of owners) network.instances.get(host)!.exchange.receive(digest, "old-host");
    network.advance(INTERVAL_MS);
  }
  t.deepEqual(network.knownLoads, [total + 5]);
});

test("streams that begin while the aggregator is lost are reported to the next one", (t) => {
  const network = new Network(88, 32);
  network.advance(3000);
  network.all.forEach((instance) => instance.run(1));
  network.advance(1000);
  const stream = { attemptId: "a", contentKey: 1n };
  const lost = network.withRole(ReportRole.Aggregator).find(({ exchange }) => exchange.memberCount > 0)!;
  const { to } = network.sent.findLast(({ from, digest }) =>
    from === lost.host && digest.kind === ReportKind.SUMMARY
  )!;
  network.frozen.add(lost.host);
  network.instances.get(to)!.streams.record(stream, { service: "e", softwareVersion: "v" });
  network.advance(1500);
  t.true(network.all.every(({ streams }) => streams.list(stream).length === 1));
});

test("after a reduction to fewer instances than slices, the former number of instances does not count", (t) => {
  const { network } = loadedNetwork(40);
  network.advance(1000);
  for (let index = 10; index < 40; index++) network.frozen.add(`h${index}`);
  network.setOwners(Array.from({ length: 32 }, (_, slice) => `h${slice % 10}`));
  network.advance(2000);
  t.deepEqual([...new Set(network.all.map(({ exchange }) => exchange.instanceCount))], [0]);
  t.deepEqual(network.knownLoads, [45]);
});
