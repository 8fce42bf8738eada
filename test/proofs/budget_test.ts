import { Effect, Fiber, Result } from "effect";
import { Reason } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { BudgetLedger } from "../../src/program/common/budget_ledger.ts";
import type { Cluster, INode } from "../harness/cluster.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

/** Modifies the ledger of every program that is opened after this call. */
function patchLedgers({ core }: INode, change: (ledger: BudgetLedger) => void): void {
  const { open } = core.state.programs;
  replaceMethod(core.state.programs, "open", (spec, grants) => {
    const accepted = open.call(core.state.programs, spec, grants);
    const program = core.state.programs.get(spec.programId);
    if (accepted && program !== undefined) change(program.ledger);
    return accepted;
  });
}

/** Accepts every charge regardless of the budget. */
function disableLimits(node: INode): void {
  patchLedgers(node, (ledger) => {
    replaceMethod(ledger, "hasRoom", () => true);
    Object.defineProperty(ledger, "roomTokens", { get: () => Infinity });
  });
}

/** Does not charge the calls that were running on a lost owner. */
function disableChargeForLostCalls(node: INode): void {
  patchLedgers(node, (ledger) => replaceMethod(ledger, "burnUnsettled", () => {}));
}

function generatedTokens(cluster: Cluster): number {
  return cluster.engines.reduce((sum, { stats }) => sum + stats.generatedTokens, 0);
}

testGuarantee("3: concurrent sub-programs do not exceed their parent's budget", {
  nodes: 3,
  disableMechanism: disableLimits,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const limit = 100;
      const parent = yield* cluster.runToCompletion(
        cluster.open("n0", { id: "test-a", budget: { generatedTokens: limit } }),
      );
      const children = yield* cluster.runToCompletion(Effect.all(
        ["n0", "n1", "n2"].map((via, index) =>
          cluster.open(via, { id: `${parent}.${index}`, parentId: parent })
        ),
      ));
      for (let step = 1; step <= 4; step++) {
        const calls = children.map((program, index) =>
          Effect.result(
            cluster.callModel(`n${index}`, { program, step, content: "answer:20", maxTokens: 20 }),
          )
        );
        yield* cluster.runToCompletion(Effect.all(calls, { concurrency: "unbounded" }));
      }
      const spent = generatedTokens(cluster);
      return spent <= limit ? [] : [`${spent} tokens generated on a budget of ${limit}`];
    }),
});

testGuarantee("3: a budget holds when its owner is killed between reservation and settlement", {
  nodes: 3,
  disableMechanism: disableChargeForLostCalls,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const limit = 60;
      const program = yield* cluster.runToCompletion(
        cluster.open("n0", { budget: { generatedTokens: limit } }),
      );
      const owner = cluster.ownerOf(program);
      const via = cluster.anyOtherNode(owner);
      const call = (step: number) =>
        Effect.result(cluster.callModel(via, { program, step, content: "answer:30", maxTokens: 30 }));
      const lost = yield* Effect.forkDetach(call(1));
      yield* cluster.advanceUntil(() => generatedTokens(cluster) > 20, "some tokens");
      yield* cluster.kill(owner);
      yield* cluster.runToCompletion(Fiber.join(lost));
      for (let step = 2; step <= 4; step++) yield* cluster.runToCompletion(call(step));
      const spent = generatedTokens(cluster);
      return spent <= limit ? [] : [`${spent} tokens generated on a budget of ${limit}`];
    }),
});

testGuarantee("3: a program that loops endlessly is stopped by its budget", {
  nodes: 2,
  disableMechanism: disableLimits,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0", { budget: { calls: 5 } }));
      for (let step = 1; step <= 8; step++) {
        const call = cluster.callModel("n1", { program, step, content: "again", maxTokens: 8 });
        const outcome = yield* cluster.runToCompletion(Effect.result(call));
        if (Result.isSuccess(outcome)) continue;
        const isStopped = step === 6 && outcome.failure.reason === Reason.BUDGET_EXHAUSTED;
        return isStopped ? [] : [`stopped at step ${step}: ${outcome.failure.message}`];
      }
      return ["ran 8 calls on a budget of 5"];
    }),
});
