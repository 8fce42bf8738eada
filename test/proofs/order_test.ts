import { Effect, Fiber, Result } from "effect";
import { Reason } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import { decodeModelResponse } from "../../src/call/common/turn_content.ts";
import type { INode } from "../harness/cluster.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

/** Accepts turns from any writer and in any order. */
function acceptAnyTurn({ core }: INode): void {
  const { state } = core;
  replaceMethod(state.views, "isWriterOwner", () => true);
  replaceMethod(state.programs, "addTurn", (programId, turn) => {
    state.programs.get(programId)?.turns.push(turn);
    return true;
  });
}

/** Allows every instance to run every call, regardless of ownership. */
function runWithoutOwnership({ core }: INode): void {
  replaceMethod(core.state.views, "isWriterOwner", () => true);
  replaceMethod(core.handover, "awaitReady", () => Effect.succeed(true));
  replaceMethod(
    core.router,
    "call",
    (req, onToken) => Effect.flatMap(core.calls.run(req), (run) => run.follow(onToken)),
  );
}

testGuarantee("1: a step sent to a frozen owner and to its successor is recorded once", {
  nodes: 3,
  disableMechanism: acceptAnyTurn,
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.engines.forEach(({ faults }) => faults.unsteady = true);
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      const other = cluster.anyOtherNode(owner);
      const first = yield* Effect.forkDetach(
        Effect.result(cluster.callModel(owner, { program, step: 1, content: "answer:40", maxTokens: 40 })),
      );
      yield* cluster.advanceUntil(
        () => cluster.engines.some(({ stats }) => stats.generatedTokens > 5),
        "the first tokens",
      );
      cluster.freeze(owner);
      yield* cluster.advanceUntil(() => cluster.ownerOf(program) !== owner, "a successor");
      const second = yield* cluster.runToCompletion(
        cluster.callModel(other, { program, step: 1, content: "answer:40", maxTokens: 40 }),
      );
      cluster.thaw(owner);
      const late = yield* cluster.runToCompletion(Fiber.join(first));
      yield* cluster.advance(2000);
      const { turns } = yield* cluster.runToCompletion(cluster.history(other, program));
      const violations = turns.length === 1 ? [] : [`the history has ${turns.length} turns for the step`];
      // Every caller that received an answer must have received the recorded one.
      const answers = [second, ...Result.isSuccess(late) ? [late.success] : []];
      const recorded = decodeModelResponse(turns[0].answer).content;
      return [
        ...violations,
        ...answers.filter((turn) => decodeModelResponse(turn.answer).content !== recorded).map(() =>
          "an answer differs from the recorded one"
        ),
      ];
    }),
});

testGuarantee("1: concurrent, early and repeated steps through all instances run once and in order", {
  nodes: 3,
  disableMechanism: runWithoutOwnership,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const violations: string[] = [];
      for (let step = 1; step <= 4; step++) {
        const calls = ["n0", "n1", "n2"].flatMap((via) => [
          Effect.result(cluster.callModel(via, { program, step, content: `s${step}` })),
          Effect.result(cluster.callModel(via, { program, step: step + 1, content: `s${step + 1}` })),
        ]);
        const outcomes = yield* cluster.runToCompletion(Effect.all(calls, { concurrency: "unbounded" }));
        outcomes.forEach((outcome, index) => {
          const isEarly = index % 2 === 1;
          if (!isEarly && Result.isFailure(outcome)) {
            violations.push(`step ${step} failed: ${outcome.failure.message}`);
          }
          const isRefused = Result.isFailure(outcome) && outcome.failure.reason === Reason.WRONG_STEP;
          if (isEarly && !isRefused) violations.push(`step ${step + 1} was not refused`);
        });
      }
      const { turns } = yield* cluster.runToCompletion(cluster.history("n0", program));
      const steps = turns.map(({ step }) => step).join(",");
      const ran = cluster.engines.reduce((sum, { stats }) => sum + stats.started, 0);
      return [
        ...violations,
        ...steps === "1,2,3,4" ? [] : [`the history has the steps ${steps}`],
        ...ran === 4 ? [] : [`${ran} runs for 4 steps`],
      ];
    }),
});
