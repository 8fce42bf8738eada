import { Effect, Result } from "effect";
import type { Cluster, INode } from "../harness/cluster.ts";
import { Durability } from "../../src/program/common/durable_writer.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

/** Delay of journal reads on one instance, in ms; shorter than a lease. */
const LOG_READ_DELAY_MS = 400;

/** Runs the first steps of a program, causes a failure, and returns the answered steps missing afterwards. */
function missingTurnsAfter(
  cluster: Cluster,
  opts: { steps: number; failure: (owner: string) => Effect.Effect<void> },
): Effect.Effect<string[], unknown> {
  return Effect.gen(function* () {
    const program = yield* cluster.runToCompletion(cluster.open("n0"));
    const owner = cluster.ownerOf(program);
    const via = cluster.anyOtherNode(owner);
    const answered: number[] = [];
    for (let step = 1; step <= opts.steps; step++) {
      const outcome = yield* cluster.runToCompletion(
        Effect.result(cluster.callModel(via, { program, step, content: `s${step}` })),
      );
      if (Result.isSuccess(outcome)) answered.push(step);
    }
    yield* opts.failure(owner);
    const history = yield* cluster.runToCompletion(Effect.result(cluster.history(via, program)));
    if (Result.isFailure(history)) return [`the program was lost: ${history.failure.message}`];
    const kept = history.success.turns.map(({ step }) => step);
    return answered.filter((step) => !kept.includes(step)).map((step) =>
      `step ${step} was answered and then lost`
    );
  });
}

/** Answers calls before their records are durable. */
function answerBeforeDurable({ core }: INode): void {
  replaceMethod(core.writer, "write", (record) =>
    Effect.sync(() => {
      core.state.applyLocally(record);
      return Durability.Journal;
    }));
}

/** Reports copies as stored without storing them. */
function discardCopies({ core }: INode): void {
  replaceMethod(core.copies, "hold", () => true);
}

testGuarantee("2: a history survives when its owner is killed right after an answer", {
  nodes: 3,
  disableMechanism: answerBeforeDurable,
  scenario: (cluster) => missingTurnsAfter(cluster, { steps: 3, failure: (owner) => cluster.kill(owner) }),
});

/** Assumes that the journal has been read to its end. */
function skipReadConfirmation({ core }: INode): void {
  replaceMethod(core.journal, "awaitReadToEnd", () => Effect.succeed(true));
}

testGuarantee("2: a sub-program's owner that reads the journal late knows the parent", {
  nodes: 3,
  disableMechanism: skipReadConfirmation,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const id = "test-parent";
      const names = Array.from({ length: 20 }, (_, index) => `test-child-${index}`);
      const childId = names.find((name) => cluster.ownerOf(name) !== cluster.ownerOf(id))!;
      cluster.node(cluster.ownerOf(childId)).logReadDelayMs = LOG_READ_DELAY_MS;
      yield* cluster.advance(2 * LOG_READ_DELAY_MS);
      const parentId = yield* cluster.runToCompletion(cluster.open("n0", { id }));
      const opened = yield* cluster.runToCompletion(
        Effect.result(cluster.open("n0", { id: childId, parentId })),
      );
      return Result.isSuccess(opened) ? [] : [`the parent is unknown: ${opened.failure.message}`];
    }),
});

testGuarantee("2: a history survives when two instances are killed at the same time", {
  nodes: 5,
  disableMechanism: answerBeforeDurable,
  scenario: (cluster) =>
    missingTurnsAfter(cluster, {
      steps: 3,
      failure: (owner) => {
        const second = cluster.liveNodes.filter(({ id }) => id !== owner).at(-1)!.id;
        return Effect.andThen(cluster.kill(owner), cluster.kill(second));
      },
    }),
});

testGuarantee("2: a history survives when its owner is killed during a store outage", {
  nodes: 5,
  disableMechanism: discardCopies,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      const via = cluster.anyOtherNode(owner);
      cluster.log.setFaults({ outage: true });
      const violations: string[] = [];
      for (let step = 1; step <= 2; step++) {
        const outcome = yield* cluster.runToCompletion(
          Effect.result(cluster.callModel(via, { program, step, content: `s${step}` })),
        );
        if (Result.isFailure(outcome)) {
          violations.push(`step ${step} failed during the outage: ${outcome.failure.message}`);
        }
      }
      yield* cluster.kill(owner);
      yield* cluster.advance(3000);
      cluster.log.setFaults({ outage: false });
      yield* cluster.advanceUntil(() => cluster.ownerOf(program) !== owner, "a new owner");
      const history = yield* cluster.runToCompletion(Effect.result(cluster.history(via, program)));
      const kept = Result.isSuccess(history) ? history.success.turns.length : 0;
      return [...violations, ...kept === 2 ? [] : [`${2 - kept} of 2 answered steps were lost`]];
    }),
});

testGuarantee("2: a history survives when the log's retention is shorter than the program's lifetime", {
  nodes: 3,
  timing: { checkpointMs: 2000 },
  disableMechanism: ({ core }) => replaceMethod(core.checkpoints, "write", () => Effect.void),
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.log.setFaults({ keep: 30 });
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      yield* cluster.runToCompletion(cluster.callModel("n0", { program, step: 1, content: "old" }));
      // The log's retention limit evicts the records of the first program as those of others are appended.
      for (let round = 0; round < 24; round++) {
        const other = yield* cluster.runToCompletion(cluster.open("n1"));
        yield* cluster.runToCompletion(cluster.callModel("n1", { program: other, step: 1, content: "new" }));
        yield* cluster.advance(250);
      }
      const newNode = yield* cluster.startNode("n3");
      yield* cluster.advanceUntil(
        () => newNode.core.state.views.current?.find(newNode.core.self) !== undefined,
        "the new instance to join",
      );
      yield* cluster.advance(3000);
      return newNode.core.state.programs.get(program)?.turns.length === 1
        ? []
        : ["the new instance does not know the program"];
    }),
});
