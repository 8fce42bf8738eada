/** Requests that run while a new configuration removes their service. */
import test from "ava";
import { Effect, Fiber } from "effect";
import type { IGatewayRequest } from "../harness/gateway_cluster.ts";
import { CallerKind, GatewayCluster, RoutePath } from "../harness/gateway_cluster.ts";
import { CrashForm, RestartForm } from "../stand_ins/backend_fleet.ts";

/** Maximum of one turn, which the servers use up. */
const TURN_TOKENS = 44;
const OPTIONS = {
  instances: 2,
  routeTimeoutMs: 60_000,
  crashForm: CrashForm.MidBody,
  restartForm: RestartForm.SameId,
};

function turn(name: string): IGatewayRequest {
  return {
    route: RoutePath.Turn,
    name,
    caller: CallerKind.Program,
    callerId: "p",
    budgetTokens: TURN_TOKENS,
  };
}

// Guards against turns that are not charged to their programs because the configuration at their end does not state their cost.
test("a turn whose service is removed while it runs is completed and charged to its program's budget", async (t) => {
  const [first, second] = await GatewayCluster.run(OPTIONS, (cluster) =>
    Effect.gen(function* () {
      cluster.fleet.bodyMs = 1400;
      const running = yield* Effect.forkChild(cluster.send("g0", { ...turn("a"), deadlineMs: 60_000 }));
      yield* cluster.advance(200);
      cluster.publishConfiguration({ removedServices: ["engines"], routeTimeoutMs: 60_000 });
      yield* cluster.advance(4000);
      const completed = yield* Fiber.join(running);
      cluster.fleet.bodyMs = 40;
      cluster.publishConfiguration({});
      yield* cluster.advance(2000);
      const next = yield* Effect.forkChild(cluster.send("g1", turn("b")));
      yield* cluster.advance(3000);
      return [completed, yield* Fiber.join(next)];
    }));
  t.deepEqual([first.status, first.isEnded], [200, true]);
  t.is(second.status, 402, second.text);
});
