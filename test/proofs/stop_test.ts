import { Effect, Fiber, Result } from "effect";
import { decodeAnswer } from "../../src/call/common/turns.ts";
import { answerTo } from "../stand_ins/engine_core.ts";
import type { Cluster } from "../harness/cluster.ts";
import { proof, replace } from "./proof.ts";

/** A stream that runs for about a second. */
const LONG = "answer:400";

function runLong(
  cluster: Cluster,
  opts: { via: string; program: string; step: number },
): Effect.Effect<string[]> {
  const call = cluster.callModel(opts.via, { ...opts, content: LONG, maxTokens: 400 });
  return Effect.map(Effect.result(call), (outcome) => {
    if (Result.isFailure(outcome)) return [`a call was cut: ${outcome.failure.message}`];
    const expected = answerTo([{ content: LONG }], 400).join("");
    return opts.step > 1 || decodeAnswer(outcome.success.answer).content === expected
      ? []
      : ["an answer is not whole"];
  });
}

proof("9: all instances replaced one after the other, with long streams under way", {
  nodes: 3,
  // Without a drain, calls are cut and their engines run them again.
  sabotage: (node, cluster) => {
    replace(cluster, "drain", (id) => Effect.andThen(cluster.kill(id), Effect.void));
    void node;
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const violations: string[] = [];
      const programs = yield* cluster.drive(
        Effect.all(Array.from({ length: 6 }, (_, i) => cluster.open(`n${i % 3}`))),
      );
      for (let round = 0; round < 3; round++) {
        const newcomer = yield* cluster.startNode(`n${round + 3}`);
        yield* cluster.until(() => cluster.isSettled, "the newcomer");
        // Callers are connected to instances that stay; the one that goes owns some of the programs.
        const calls = programs.map((program) =>
          runLong(cluster, { via: newcomer.id, program, step: round + 1 })
        );
        const running = yield* Effect.forkDetach(Effect.all(calls, { concurrency: "unbounded" }));
        yield* cluster.advance(300);
        yield* cluster.drive(cluster.drain(`n${round}`));
        violations.push(...(yield* cluster.drive(Fiber.join(running))).flat());
        yield* cluster.until(() => cluster.isSettled, "the view without it");
      }
      const runs = cluster.engines.reduce((sum, { stats }) => sum + stats.started, 0);
      if (runs !== 18) violations.push(`18 calls took ${runs} runs`);
      for (const program of programs) {
        const { turns } = yield* cluster.drive(cluster.history("n5", program));
        if (turns.length !== 3) violations.push(`${program} has ${turns.length} of 3 turns`);
      }
      return violations;
    }),
});
