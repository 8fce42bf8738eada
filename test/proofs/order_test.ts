import { Effect, Fiber, Result } from "effect";
import { Reason } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import { decodeAnswer } from "../../src/call/common/turns.ts";
import type { INode } from "../harness/cluster.ts";
import { proof, replace } from "./proof.ts";

/** Takes turns in from anybody and in any order. */
function takeAnyTurn({ core }: INode): void {
  const { state } = core;
  replace(state.views, "admits", () => true);
  replace(state.programs, "addTurn", (programId, turn) => {
    state.programs.get(programId)?.turns.push(turn);
    return true;
  });
}

/** Lets every instance run every call, whoever owns the program. */
function runEverywhere({ core }: INode): void {
  replace(core.state.views, "admits", () => true);
  replace(core.handOver, "awaitReady", () => Effect.succeed(true));
  replace(
    core.router,
    "call",
    (req, onToken) => Effect.flatMap(core.calls.run(req), (run) => run.follow(onToken)),
  );
}

proof("1: a step on a frozen owner and on its successor", {
  nodes: 3,
  sabotage: takeAnyTurn,
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.engines.forEach(({ faults }) => faults.unsteady = true);
      const program = yield* cluster.drive(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      const other = cluster.otherThan(owner);
      const first = yield* Effect.forkDetach(
        Effect.result(cluster.callModel(owner, { program, step: 1, content: "answer:40", maxTokens: 40 })),
      );
      yield* cluster.until(
        () => cluster.engines.some(({ stats }) => stats.generatedTokens > 5),
        "the first tokens",
      );
      cluster.freeze(owner);
      yield* cluster.until(() => cluster.ownerOf(program) !== owner, "a successor");
      const second = yield* cluster.drive(
        cluster.callModel(other, { program, step: 1, content: "answer:40", maxTokens: 40 }),
      );
      cluster.thaw(owner);
      const late = yield* cluster.drive(Fiber.join(first));
      yield* cluster.advance(2000);
      const { turns } = yield* cluster.drive(cluster.history(other, program));
      const violations = turns.length === 1 ? [] : [`the step stands ${turns.length} times in the history`];
      // Whoever got an answer got the recorded one.
      const answers = [second, ...Result.isSuccess(late) ? [late.success] : []];
      const recorded = decodeAnswer(turns[0].answer).content;
      return [
        ...violations,
        ...answers.filter((turn) => decodeAnswer(turn.answer).content !== recorded).map(() => "two answers"),
      ];
    }),
});

proof("1: concurrent, early and repeated steps through all instances", {
  nodes: 3,
  sabotage: runEverywhere,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      const violations: string[] = [];
      for (let step = 1; step <= 4; step++) {
        const calls = ["n0", "n1", "n2"].flatMap((via) => [
          Effect.result(cluster.callModel(via, { program, step, content: `s${step}` })),
          Effect.result(cluster.callModel(via, { program, step: step + 1, content: `s${step + 1}` })),
        ]);
        const outcomes = yield* cluster.drive(Effect.all(calls, { concurrency: "unbounded" }));
        outcomes.forEach((outcome, index) => {
          const isEarly = index % 2 === 1;
          if (!isEarly && Result.isFailure(outcome)) {
            violations.push(`step ${step} failed: ${outcome.failure.message}`);
          }
          const isRefused = Result.isFailure(outcome) && outcome.failure.reason === Reason.WRONG_STEP;
          if (isEarly && !isRefused) violations.push(`step ${step + 1} was not refused`);
        });
      }
      const { turns } = yield* cluster.drive(cluster.history("n0", program));
      const steps = turns.map(({ step }) => step).join(",");
      const ran = cluster.engines.reduce((sum, { stats }) => sum + stats.started, 0);
      return [
        ...violations,
        ...steps === "1,2,3,4" ? [] : [`history ${steps}`],
        ...ran === 4 ? [] : [`${ran} runs`],
      ];
    }),
});
