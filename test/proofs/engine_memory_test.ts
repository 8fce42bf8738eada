import { Effect, Result } from "effect";
import type { Cluster } from "../harness/cluster.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

const RECONCILIATION_TIMEOUT_MS = 10_000;

/** Returns the ids of programs that occupy engine memory. */
function cachedPrograms(cluster: Cluster): string[] {
  return cluster.engines.flatMap(({ cachedProgramIds }) => cachedProgramIds);
}

/** Hides the cached programs of the engines from the reconciliation. */
function disableReconciliation(cluster: Cluster): void {
  for (const { core } of cluster.liveNodes) {
    for (const { client } of core.registry.engines) replaceMethod(client, "listKv", () => Effect.succeed([]));
  }
}

testGuarantee("4: a program that ends while its engine is unreachable leaves no cache", {
  nodes: 3,
  disableMechanism: (_, cluster) => disableReconciliation(cluster),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      yield* cluster.runToCompletion(cluster.callModel("n1", { program, step: 1, content: "x" }));
      cluster.engines.forEach(({ faults }) => faults.unreachable = true);
      yield* cluster.runToCompletion(cluster.end("n2", program));
      yield* cluster.advance(1000);
      cluster.engines.forEach(({ faults }) => faults.unreachable = false);
      yield* cluster.advance(RECONCILIATION_TIMEOUT_MS);
      return cachedPrograms(cluster);
    }),
});

testGuarantee("4: a program whose owner is killed right after its end leaves no cache", {
  nodes: 3,
  disableMechanism: (_, cluster) => disableReconciliation(cluster),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      yield* cluster.runToCompletion(cluster.callModel(owner, { program, step: 1, content: "x" }));
      cluster.engines.forEach(({ faults }) => faults.unreachable = true);
      yield* cluster.runToCompletion(cluster.end(owner, program));
      yield* cluster.kill(owner);
      cluster.engines.forEach(({ faults }) => faults.unreachable = false);
      yield* cluster.advance(RECONCILIATION_TIMEOUT_MS);
      return cachedPrograms(cluster);
    }),
});

testGuarantee("4: a program whose caller never returns is ended when idle", {
  nodes: 2,
  disableMechanism: ({ core }) => replaceMethod(core.state.programs, "end", () => false),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0", { kind: "brief" }));
      yield* cluster.runToCompletion(cluster.callModel("n0", { program, step: 1, content: "x" }));
      yield* cluster.advance(RECONCILIATION_TIMEOUT_MS);
      const after = yield* cluster.runToCompletion(
        Effect.result(cluster.callModel("n0", { program, step: 2, content: "y" })),
      );
      return [
        ...cachedPrograms(cluster),
        ...Result.isFailure(after) ? [] : ["an idle program was not ended"],
      ];
    }),
});

testGuarantee("4: the cache of a paused program is evicted when engine memory is scarce", {
  nodes: 2,
  engines: 1,
  disableMechanism: (_, cluster) => disableReconciliation(cluster),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const [engine] = cluster.engines;
      const paused = yield* cluster.runToCompletion(cluster.open("n0"));
      yield* cluster.runToCompletion(
        cluster.callModel("n0", { program: paused, step: 1, content: "x".repeat(4 * 50_000) }),
      );
      yield* cluster.advance(61_000);
      const active = yield* cluster.runToCompletion(cluster.open("n1"));
      yield* cluster.runToCompletion(
        cluster.callModel("n1", { program: active, step: 1, content: "x".repeat(4 * 8000) }),
      );
      yield* cluster.advance(RECONCILIATION_TIMEOUT_MS / 2);
      const cached = engine.cachedProgramIds.join();
      return cached === active ? [] : [`the engine caches ${cached}`];
    }),
});
