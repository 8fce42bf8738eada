import { Deferred, Effect, Fiber } from "effect";
import { EngineOrderAction } from "../../src/routing/common/model_engine.ts";
import type { Cluster } from "../harness/cluster.ts";
import { TEST_CONFIGURATION } from "../harness/configuration.ts";
import { proof, replace } from "./proof.ts";

const LARGE_LIFETIME_MS = 65_000;

function withReplicas(replicas: number, fencingIgnoredBy: string[] = []): object {
  return { ...TEST_CONFIGURATION, models: { m: {}, extra: { replicas } }, placement: { fencingIgnoredBy } };
}

function holders(cluster: Cluster): number {
  return cluster.engines.filter(({ models }) => models.has("extra")).length;
}

/** Takes every order for valid when it has come through the journal. */
function issueAll(cluster: Cluster): void {
  for (const { core } of cluster.live) replace(core.state.orders, "issue", () => true);
}

proof("11: models come to their configured replicas, with bounded loads at a time", {
  nodes: 3,
  engines: 4,
  configuration: TEST_CONFIGURATION,
  sabotage: (_, cluster) => issueAll(cluster),
  scenario: (cluster) =>
    Effect.gen(function* () {
      let loading = 0;
      let mostLoading = 0;
      for (const engine of cluster.engines) {
        const { order } = engine;
        replace(engine, "order", (req) =>
          Effect.gen(function* () {
            loading += 1;
            mostLoading = Math.max(mostLoading, loading);
            yield* Effect.sleep(800);
            loading -= 1;
            yield* order.call(engine, req);
          }));
      }
      yield* cluster.publish(JSON.stringify(withReplicas(4)), 0);
      yield* cluster.until(() => holders(cluster) === 4, "four replicas");
      yield* cluster.publish(JSON.stringify(withReplicas(1)), 1);
      yield* cluster.until(() => holders(cluster) === 1, "one replica");
      return mostLoading <= 2 ? [] : [`${mostLoading} loads at once`];
    }),
});

proof("11: the order of an instance that was frozen is refused by its old token", {
  nodes: 3,
  engines: 1,
  configuration: TEST_CONFIGURATION,
  // All orders carry the same token.
  sabotage: (node, cluster) => {
    if (node !== cluster.live[0]) return;
    const [engine] = cluster.engines;
    const { order } = engine;
    replace(engine, "order", (req) => order.call(engine, { ...req, fencingToken: 1 }));
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const [engine] = cluster.engines;
      const send = engine.order.bind(engine);
      let late: Fiber.Fiber<void, unknown> | undefined;
      // The first giver freezes when its order is on the way.
      replace(engine, "order", (req) =>
        Effect.gen(function* () {
          const giver = cluster.live.find(({ core }) =>
            core.decisions.recent.some(({ kind }) => kind === "placement")
          )!;
          if (late !== undefined) return yield* send(req);
          cluster.freeze(giver.id);
          const { frozen } = cluster.node(giver.id);
          late = yield* Effect.forkDetach(Effect.andThen(Deferred.await(frozen!), send(req)));
          return yield* Effect.never;
        }));
      yield* cluster.publish(JSON.stringify(withReplicas(1)), 0);
      yield* cluster.until(() => late !== undefined, "the first order");
      const frozen = cluster.live.find((node) => node.frozen !== undefined)!;
      yield* cluster.advance(LARGE_LIFETIME_MS);
      yield* cluster.until(() => holders(cluster) === 1, "the successor's order");
      // The operators then take the model away; the late order would bring it back.
      engine.models.delete("extra");
      cluster.thaw(frozen.id);
      const exit = yield* cluster.drive(Fiber.await(late!));
      return exit._tag === "Failure" ? [] : ["the late order took effect"];
    }),
});

proof("11: a late order on an engine that ignores tokens is put right", {
  nodes: 3,
  engines: 3,
  configuration: {
    ...TEST_CONFIGURATION,
    models: { m: { replicas: 3 } },
    placement: { fencingIgnoredBy: ["e1"] },
  },
  sabotage: ({ core }) => replace(core.state.orders, "issue", () => false),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const engine = cluster.engines[1];
      engine.faults.checksFencing = false;
      yield* engine.order({ action: EngineOrderAction.UnloadModel, model: "m", fencingToken: 0 });
      yield* cluster.advance(6000);
      return engine.models.has("m") ? [] : ["the model is missing"];
    }),
});
