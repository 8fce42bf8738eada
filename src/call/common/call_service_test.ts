import test from "ava";
import { Effect, Result } from "effect";
import { Cluster } from "../../../test/harness/cluster.ts";
import { expectedAnswerTokens } from "../../../test/stand_ins/engine_core.ts";
import { decodeAnswer } from "./turn_content.ts";

test("runs the calls of a program through any instance", async (t) => {
  await Cluster.run({ nodes: 3 }, (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      const first = yield* cluster.drive(cluster.callModel("n1", { program, step: 1, content: "hello" }));
      t.is(decodeAnswer(first.answer).content, expectedAnswerTokens([{ content: "hello" }], 16).join(""));
      yield* cluster.drive(cluster.callService("n2", { program, step: 2, operation: "act" }));
      const repeated = yield* cluster.drive(cluster.callModel("n2", { program, step: 1, content: "hello" }));
      t.deepEqual(repeated.answer, first.answer);
      const early = yield* cluster.drive(
        Effect.result(cluster.callModel("n0", { program, step: 4, content: "x" })),
      );
      t.true(Result.isFailure(early) && early.failure.expectedStep === 3);
    }));
});
