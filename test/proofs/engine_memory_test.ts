import { Effect, Result } from "effect";
import type { Cluster } from "../harness/cluster.ts";
import { proof, replace } from "./proof.ts";

const RECONCILED_MS = 10_000;

/** Programs that have ended and still occupy engine memory. */
function held(cluster: Cluster): string[] {
  return cluster.engines.flatMap(({ heldPrograms }) => heldPrograms);
}

/** Hides the engines' holdings, so that nothing is reconciled. */
function hideHoldings(cluster: Cluster): void {
  for (const { core } of cluster.live) {
    for (const { client } of core.registry.engines) replace(client, "listKv", () => Effect.succeed([]));
  }
}

proof("4: a program ended while its engine cannot be reached", {
  nodes: 3,
  sabotage: (_, cluster) => hideHoldings(cluster),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      yield* cluster.drive(cluster.callModel("n1", { program, step: 1, content: "x" }));
      cluster.engines.forEach(({ faults }) => faults.unreachable = true);
      yield* cluster.drive(cluster.end("n2", program));
      yield* cluster.advance(1000);
      cluster.engines.forEach(({ faults }) => faults.unreachable = false);
      yield* cluster.advance(RECONCILED_MS);
      return held(cluster);
    }),
});

proof("4: an owner killed as soon as the program has ended", {
  nodes: 3,
  sabotage: (_, cluster) => hideHoldings(cluster),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      yield* cluster.drive(cluster.callModel(owner, { program, step: 1, content: "x" }));
      cluster.engines.forEach(({ faults }) => faults.unreachable = true);
      yield* cluster.drive(cluster.end(owner, program));
      yield* cluster.kill(owner);
      cluster.engines.forEach(({ faults }) => faults.unreachable = false);
      yield* cluster.advance(RECONCILED_MS);
      return held(cluster);
    }),
});

proof("4: a caller that never comes back", {
  nodes: 2,
  sabotage: ({ core }) => replace(core.state.programs, "end", () => false),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0", { kind: "brief" }));
      yield* cluster.drive(cluster.callModel("n0", { program, step: 1, content: "x" }));
      yield* cluster.advance(RECONCILED_MS);
      const after = yield* cluster.drive(
        Effect.result(cluster.callModel("n0", { program, step: 2, content: "y" })),
      );
      return [...held(cluster), ...Result.isFailure(after) ? [] : ["an idle program still runs"]];
    }),
});

proof("4: long pauses make room where memory is scarce", {
  nodes: 2,
  engines: 1,
  sabotage: (_, cluster) => hideHoldings(cluster),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const [engine] = cluster.engines;
      const paused = yield* cluster.drive(cluster.open("n0"));
      yield* cluster.drive(
        cluster.callModel("n0", { program: paused, step: 1, content: "x".repeat(4 * 50_000) }),
      );
      yield* cluster.advance(61_000);
      const active = yield* cluster.drive(cluster.open("n1"));
      yield* cluster.drive(
        cluster.callModel("n1", { program: active, step: 1, content: "x".repeat(4 * 8000) }),
      );
      yield* cluster.advance(RECONCILED_MS / 2);
      const kept = engine.heldPrograms.join();
      return kept === active ? [] : [`the engine holds ${kept}`];
    }),
});
