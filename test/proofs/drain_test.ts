/** Requests that an instance cannot end before it stops are not sent to servers, however they come to it. */
import test from "ava";
import { Effect, Fiber } from "effect";
import { distinctRequest, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { LinkCut } from "../harness/server_links.ts";
import { CrashForm, RestartForm, ServerBehavior } from "../stand_ins/backend_fleet.ts";

const OPTIONS = { instances: 3, crashForm: CrashForm.BeforeHead, restartForm: RestartForm.SameId };
const NOT_RUN_STATUS = 503;
const UNKNOWN_OUTCOME_STATUS = 502;

/** Has an instance stop so that it ends after a time, in ms. */
function beginDrain(cluster: GatewayCluster, name: string, inMs: number): void {
  cluster.gateways.get(name)!.core.drain.begin(cluster.nowMs + inMs);
}

/** Serves requests of a route that take a time, so that the instance knows how long they take. */
function warmUp(
  cluster: GatewayCluster,
  { route, headMs }: { route: RoutePath; headMs: number },
): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (const server of cluster.fleet.servers) server.headMs = headMs;
    for (const name of cluster.names) {
      yield* Effect.forkDetach(cluster.send(name, distinctRequest(route, `warm-${name}`)));
    }
    yield* cluster.advance(headMs + 200);
  });
}

// Guards against requests that wait for a server until their connection ends with the process.
test("a request that waits for a connection when the instance ends is refused as not run", (t) =>
  GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      for (const { links } of cluster.gateways.values()) links.cut(LinkCut.Hang);
      const [name] = cluster.names;
      const sending = yield* Effect.forkDetach(
        cluster.send(name, distinctRequest(RoutePath.Unsafe, "waiting")),
      );
      yield* cluster.advance(100);
      const { drain } = cluster.gateways.get(name)!.core;
      beginDrain(cluster, name, 100);
      yield* cluster.advance(150);
      drain.endIfDue(cluster.nowMs);
      const { status, text } = yield* Fiber.join(sending);
      t.is(status, NOT_RUN_STATUS);
      t.regex(text, /stopping/);
      for (const { links } of cluster.gateways.values()) links.heal();
      yield* cluster.advance(3000);
      t.is(cluster.runsOf("waiting"), 0);
    })));

// Guards against connections that end without an answer although the outcome can be stated.
test("a request that a server is running when the instance ends is answered as unknown", (t) =>
  GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      yield* warmUp(cluster, { route: RoutePath.Unsafe, headMs: 100 });
      for (const server of cluster.fleet.servers) server.headMs = 2000;
      const [name] = cluster.names;
      beginDrain(cluster, name, 1000);
      const sending = yield* Effect.forkDetach(
        cluster.send(name, distinctRequest(RoutePath.Unsafe, "running")),
      );
      yield* cluster.advance(1050);
      cluster.gateways.get(name)!.core.drain.endIfDue(cluster.nowMs);
      t.is((yield* Fiber.join(sending)).status, UNKNOWN_OUTCOME_STATUS);
      t.is(cluster.runsOf("running"), 1);
    })));

// Guards against repeated sends that are cut with the process.
test("a request whose server has failed is not sent again if the repetition cannot end in time", (t) =>
  GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      yield* warmUp(cluster, { route: RoutePath.Safe, headMs: 600 });
      for (const server of cluster.fleet.servers) {
        server.behavior = ServerBehavior.LosesAnswers;
        server.runCount = 0;
      }
      const [name] = cluster.names;
      beginDrain(cluster, name, 1000);
      const sending = yield* Effect.forkDetach(
        cluster.send(name, distinctRequest(RoutePath.Safe, "repeated")),
      );
      yield* cluster.advance(900);
      t.is((yield* Fiber.join(sending)).status, UNKNOWN_OUTCOME_STATUS);
      t.is(cluster.runsOf("repeated"), 1);
    })));

// Guards against requests of other instances that are cut with the instance that sends them on.
test("an instance that stops sends nothing for others that may outlast it", (t) =>
  GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      const [cutOff, stopping, other] = cluster.names;
      cluster.gateways.get(cutOff)!.links.cut(LinkCut.Refuse);
      yield* cluster.advance(2000);
      beginDrain(cluster, stopping, 1000);
      const served: number[] = [];
      for (let index = 0; index < 6; index++) {
        const sending = cluster.send(cutOff, distinctRequest(RoutePath.Unsafe, `forwarded-${index}`));
        yield* Effect.forkDetach(Effect.map(sending, ({ status }) => void served.push(status)));
        yield* cluster.advance(100);
      }
      yield* cluster.advance(1000);
      t.deepEqual(served, [200, 200, 200, 200, 200, 200]);
      beginDrain(cluster, other, 1000);
      const { status } = yield* Effect.raceFirst(
        cluster.send(cutOff, distinctRequest(RoutePath.Unsafe, "late")),
        Effect.andThen(cluster.advance(3000), Effect.never),
      );
      t.is(status, NOT_RUN_STATUS);
      t.is(cluster.runsOf("late"), 0);
      const refusals = cluster.linesOf("forward-refused").map(({ reason }) => reason);
      t.true(refusals.includes("stopping"));
    })));
