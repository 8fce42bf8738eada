import test from "ava";
import type { ExecutionContext } from "ava";
import { Effect } from "effect";
import type { IGateway } from "../../../test/harness/gateway_cluster.ts";
import { GatewayCluster } from "../../../test/harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../../../test/stand_ins/backend_fleet.ts";
import { AttemptResult } from "../../call/common/observed_attempt.ts";
import { RequestIdentity } from "../../call/common/request_identity.ts";

const SERVER = "one-server";
const ENDED_SERVER = "ended-server";
const CONTENT = { method: "POST", host: "h", target: "/x", body: Buffer.from("x"), affinityKey: "c" };
const CRASHING = new RequestIdentity(CONTENT);
const PARTS = [{ id: "part", tokens: 100 }, { id: "last", tokens: 10 }];
const RUN = { backendId: SERVER, startedAtMs: 1 };

type Core = IGateway["core"];

/** Makes an instance learn one of each kind of event. */
function causeEvents(core: Core): void {
  const entry = { id: ENDED_SERVER, startedAtMs: 1, service: "s", host: "h", port: 1, zone: "z", slots: 4 };
  const attempt = core.crashes.observe(CRASHING, {
    requestId: "r",
    backend: { ...entry, isDraining: false },
  });
  attempt.result = AttemptResult.ConnectionLost;
  core.crashes.finish(attempt);
  core.leaving.recordAnnouncement(RUN);
  core.limits.record(RUN, 40);
  core.streams.record({ attemptId: "a", contentKey: 7n }, { service: "engines", softwareVersion: "v1" });
  core.caches.recordPrompt(SERVER, { parts: PARTS, capacity: 1000 });
}

/** What an instance has not learnt of the events and of the requests that run on a server. */
function missingAt(core: Core, running: number): string[] {
  const known = {
    load: core.loads.running(SERVER) === running,
    strike: core.crashes.isSuspect(CRASHING),
    leaving: core.leaving.has(RUN),
    limit: core.limits.perSecond(RUN) === 40,
    stream: core.streams.list({ attemptId: "a", contentKey: 7n }).length === 1,
    prefix: core.caches.cachedTokens(SERVER, PARTS) >= 100,
  };
  return Object.entries(known).filter(([, isKnown]) => !isKnown).map(([name]) => name);
}

/** Loads a server through all instances, and has one of them learn events; returns what others miss 1 s later. */
function missedReports(instances: number, settings: object): Promise<string[]> {
  const opts = { instances, settings, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.NewId };
  return GatewayCluster.run(opts, (cluster) =>
    Effect.gen(function* () {
      const cores = [...cluster.gateways.values()].map(({ core }) => core);
      cores.forEach((core, index) => {
        for (let count = 0; count <= index; count++) core.loads.recordRequestStart(SERVER);
      });
      const owners = new Set(cores[0].group.addresses);
      const origin = [...cluster.gateways.values()].find(({ name }) => !owners.has(`${name}:3`))!;
      causeEvents(origin.core);
      yield* cluster.advance(1000);
      const running = instances * (instances + 1) / 2;
      return [...cluster.gateways.values()].flatMap(({ name, core }) =>
        missingAt(core, running).map((what) => `${name} ${what}`)
      );
    }));
}

const expectAllKnown = async (t: ExecutionContext, instances: number, settings: object) =>
  t.deepEqual(await missedReports(instances, settings), []);

test("20 instances on 8 slices know the loads and events of all", expectAllKnown, 20, { sliceTopics: 1 });
test("40 instances on 32 slices know the loads and events of all", expectAllKnown, 40, {});
test("88 instances on 32 slices know the loads and events of all", expectAllKnown, 88, {});
