import test from "ava";
import { Effect, Result } from "effect";
import { Cluster } from "../../../test/harness/cluster.ts";
import { expectedAnswerTokens } from "../../../test/stand_ins/engine_core.ts";
import { decodeModelResponse } from "./turn_content.ts";

test("runs calls on any instance, repeats the answer of a past step, rejects a skipped step", async (t) => {
  await Cluster.run({ nodes: 3 }, (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const first = yield* cluster.runToCompletion(
        cluster.callModel("n1", { program, step: 1, content: "hello" }),
      );
      t.is(
        decodeModelResponse(first.answer).content,
        expectedAnswerTokens([{ content: "hello" }], 16).join(""),
      );
      yield* cluster.runToCompletion(cluster.callService("n2", { program, step: 2, operation: "act" }));
      const repeated = yield* cluster.runToCompletion(
        cluster.callModel("n2", { program, step: 1, content: "hello" }),
      );
      t.deepEqual(repeated.answer, first.answer);
      const early = yield* cluster.runToCompletion(
        Effect.result(cluster.callModel("n0", { program, step: 4, content: "x" })),
      );
      t.true(Result.isFailure(early) && early.failure.expectedStep === 3);
    }));
});
