import { Effect, Fiber, Result } from "effect";
import { Reason } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { BudgetLedger } from "../../src/program/common/budget_ledger.ts";
import type { Cluster, INode } from "../harness/cluster.ts";
import { proof, replace } from "./proof.ts";

/** Changes the ledger of every program that will be opened. */
function onLedgers({ core }: INode, change: (ledger: BudgetLedger) => void): void {
  const { open } = core.state.programs;
  replace(core.state.programs, "open", (spec, grants) => {
    const accepted = open.call(core.state.programs, spec, grants);
    const program = core.state.programs.get(spec.programId);
    if (accepted && program !== undefined) change(program.ledger);
    return accepted;
  });
}

/** Lets every charge pass. */
function ignoreLimits(node: INode): void {
  onLedgers(node, (ledger) => {
    replace(ledger, "hasRoom", () => true);
    Object.defineProperty(ledger, "roomTokens", { get: () => Infinity });
  });
}

/** Forgets what an owner that died may have spent. */
function burnNothing(node: INode): void {
  onLedgers(node, (ledger) => replace(ledger, "burnUnsettled", () => {}));
}

function generated(cluster: Cluster): number {
  return cluster.engines.reduce((sum, { stats }) => sum + stats.generatedTokens, 0);
}

proof("3: sub-programs at once on one parent's budget", {
  nodes: 3,
  sabotage: ignoreLimits,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const limit = 100;
      const parent = yield* cluster.drive(
        cluster.open("n0", { id: "test-a", budget: { generatedTokens: limit } }),
      );
      const children = yield* cluster.drive(Effect.all(
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
        yield* cluster.drive(Effect.all(calls, { concurrency: "unbounded" }));
      }
      const spent = generated(cluster);
      return spent <= limit ? [] : [`${spent} tokens generated on a budget of ${limit}`];
    }),
});

proof("3: an owner killed between reservation and settlement", {
  nodes: 3,
  sabotage: burnNothing,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const limit = 60;
      const program = yield* cluster.drive(cluster.open("n0", { budget: { generatedTokens: limit } }));
      const owner = cluster.ownerOf(program);
      const via = cluster.otherThan(owner);
      const call = (step: number) =>
        Effect.result(cluster.callModel(via, { program, step, content: "answer:30", maxTokens: 30 }));
      const lost = yield* Effect.forkDetach(call(1));
      yield* cluster.until(() => generated(cluster) > 20, "some tokens");
      yield* cluster.kill(owner);
      yield* cluster.drive(Fiber.join(lost));
      for (let step = 2; step <= 4; step++) yield* cluster.drive(call(step));
      const spent = generated(cluster);
      return spent <= limit ? [] : [`${spent} tokens generated on a budget of ${limit}`];
    }),
});

proof("3: a program that loops without end", {
  nodes: 2,
  sabotage: ignoreLimits,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0", { budget: { calls: 5 } }));
      for (let step = 1; step <= 8; step++) {
        const call = cluster.callModel("n1", { program, step, content: "again", maxTokens: 8 });
        const outcome = yield* cluster.drive(Effect.result(call));
        if (Result.isSuccess(outcome)) continue;
        const isStopped = step === 6 && outcome.failure.reason === Reason.BUDGET_EXHAUSTED;
        return isStopped ? [] : [`stopped at step ${step}: ${outcome.failure.message}`];
      }
      return ["ran 8 calls on a budget of 5"];
    }),
});
