import { Effect, Fiber, Result } from "effect";
import { decodeModelResponse } from "../../src/call/common/turn_content.ts";
import { expectedAnswerTokens } from "../stand_ins/engine_core.ts";
import type { Cluster } from "../harness/cluster.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

/** Message content that makes the answer stream for about one second. */
const LONG_CONTENT = "answer:400";

function callWithLongStream(
  cluster: Cluster,
  opts: { via: string; program: string; step: number },
): Effect.Effect<string[]> {
  const call = cluster.callModel(opts.via, { ...opts, content: LONG_CONTENT, maxTokens: 400 });
  return Effect.map(Effect.result(call), (outcome) => {
    if (Result.isFailure(outcome)) return [`a call was interrupted: ${outcome.failure.message}`];
    const expected = expectedAnswerTokens([{ content: LONG_CONTENT }], 400).join("");
    return opts.step > 1 || decodeModelResponse(outcome.success.answer).content === expected
      ? []
      : ["an answer is incomplete or wrong"];
  });
}

testGuarantee("9: replacing all instances one after the other interrupts no stream", {
  nodes: 3,
  // Without draining, calls are interrupted and run again.
  disableMechanism: (node, cluster) => {
    replaceMethod(cluster, "drain", (id) => Effect.andThen(cluster.kill(id), Effect.void));
    void node;
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const violations: string[] = [];
      const programs = yield* cluster.runToCompletion(
        Effect.all(Array.from({ length: 6 }, (_, i) => cluster.open(`n${i % 3}`))),
      );
      for (let round = 0; round < 3; round++) {
        const newNode = yield* cluster.startNode(`n${round + 3}`);
        yield* cluster.advanceUntil(() => cluster.hasConverged, "the new instance to join");
        // Callers use the new instance; the drained one owns some of the programs.
        const calls = programs.map((program) =>
          callWithLongStream(cluster, { via: newNode.id, program, step: round + 1 })
        );
        const running = yield* Effect.forkDetach(Effect.all(calls, { concurrency: "unbounded" }));
        yield* cluster.advance(300);
        yield* cluster.runToCompletion(cluster.drain(`n${round}`));
        violations.push(...(yield* cluster.runToCompletion(Fiber.join(running))).flat());
        yield* cluster.advanceUntil(() => cluster.hasConverged, "the view without the drained instance");
      }
      const runs = cluster.engines.reduce((sum, { stats }) => sum + stats.started, 0);
      if (runs !== 18) violations.push(`18 calls took ${runs} runs`);
      for (const program of programs) {
        const { turns } = yield* cluster.runToCompletion(cluster.history("n5", program));
        if (turns.length !== 3) violations.push(`${program} has ${turns.length} of 3 turns`);
      }
      return violations;
    }),
});
