import { Deferred, Effect, Fiber } from "effect";
import { EngineOrderAction } from "../../src/routing/common/model_engine.ts";
import type { Cluster } from "../harness/cluster.ts";
import { TEST_CONFIGURATION } from "../harness/configuration.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

/** Longer than the 60 s after which an order of a lost issuer expires. */
const ORDER_EXPIRY_WAIT_MS = 65_000;

function withReplicas(replicas: number, fencingIgnoredBy: string[] = []): object {
  return { ...TEST_CONFIGURATION, models: { m: {}, extra: { replicas } }, placement: { fencingIgnoredBy } };
}

function replicaCount(cluster: Cluster): number {
  return cluster.engines.filter(({ models }) => models.has("extra")).length;
}

/** Accepts every order read from the journal, regardless of active orders and of the load limit. */
function acceptEveryOrder(cluster: Cluster): void {
  for (const { core } of cluster.liveNodes) replaceMethod(core.state.orders, "issue", () => true);
}

testGuarantee("11: models reach their configured replica count with a bounded number of concurrent loads", {
  nodes: 3,
  engines: 4,
  configuration: TEST_CONFIGURATION,
  disableMechanism: (_, cluster) => acceptEveryOrder(cluster),
  scenario: (cluster) =>
    Effect.gen(function* () {
      let loading = 0;
      let maxLoading = 0;
      for (const engine of cluster.engines) {
        const { order } = engine;
        replaceMethod(engine, "order", (req) =>
          Effect.gen(function* () {
            loading += 1;
            maxLoading = Math.max(maxLoading, loading);
            yield* Effect.sleep(800);
            loading -= 1;
            yield* order.call(engine, req);
          }));
      }
      yield* cluster.publish(JSON.stringify(withReplicas(4)), 0);
      yield* cluster.advanceUntil(() => replicaCount(cluster) === 4, "four replicas");
      yield* cluster.publish(JSON.stringify(withReplicas(1)), 1);
      yield* cluster.advanceUntil(() => replicaCount(cluster) === 1, "one replica");
      return maxLoading <= 2 ? [] : [`${maxLoading} concurrent loads`];
    }),
});

testGuarantee("11: a delayed order of a frozen instance is rejected for its outdated fencing token", {
  nodes: 3,
  engines: 1,
  configuration: TEST_CONFIGURATION,
  // All orders have the same fencing token.
  disableMechanism: (node, cluster) => {
    if (node !== cluster.liveNodes[0]) return;
    const [engine] = cluster.engines;
    const { order } = engine;
    replaceMethod(engine, "order", (req) => order.call(engine, { ...req, fencingToken: 1 }));
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const [engine] = cluster.engines;
      const send = engine.order.bind(engine);
      let late: Fiber.Fiber<void, unknown> | undefined;
      // Freezes the first issuer while its order is in flight.
      replaceMethod(engine, "order", (req) =>
        Effect.gen(function* () {
          const issuer = cluster.liveNodes.find(({ core }) =>
            core.decisions.recent.some(({ kind }) => kind === "placement")
          )!;
          if (late !== undefined) return yield* send(req);
          cluster.freeze(issuer.id);
          const { frozen } = cluster.node(issuer.id);
          late = yield* Effect.forkDetach(Effect.andThen(Deferred.await(frozen!), send(req)));
          return yield* Effect.never;
        }));
      yield* cluster.publish(JSON.stringify(withReplicas(1)), 0);
      yield* cluster.advanceUntil(() => late !== undefined, "the first order");
      const frozen = cluster.liveNodes.find((node) => node.frozen !== undefined)!;
      yield* cluster.advance(ORDER_EXPIRY_WAIT_MS);
      yield* cluster.advanceUntil(() => replicaCount(cluster) === 1, "the successor's order");
      // The model is then unloaded directly; the delayed order would load it again.
      engine.models.delete("extra");
      cluster.thaw(frozen.id);
      const exit = yield* cluster.runToCompletion(Fiber.await(late!));
      return exit._tag === "Failure" ? [] : ["the delayed order took effect"];
    }),
});

testGuarantee("11: the effect of a delayed order on an engine that ignores fencing tokens is corrected", {
  nodes: 3,
  engines: 3,
  configuration: {
    ...TEST_CONFIGURATION,
    models: { m: { replicas: 3 } },
    placement: { fencingIgnoredBy: ["e1"] },
  },
  disableMechanism: ({ core }) => replaceMethod(core.state.orders, "issue", () => false),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const engine = cluster.engines[1];
      engine.faults.checksFencing = false;
      yield* engine.order({ action: EngineOrderAction.UnloadModel, model: "m", fencingToken: 0 });
      yield* cluster.advance(6000);
      return engine.models.has("m") ? [] : ["the model was not loaded again"];
    }),
});
