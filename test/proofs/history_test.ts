import { Effect, Result } from "effect";
import type { Cluster, INode } from "../harness/cluster.ts";
import { Durability } from "../../src/program/common/durable_writer.ts";
import { proof, replace } from "./proof.ts";

/** Time by which an instance learns late what stands in the journal, in ms; under a lease's length. */
const LATE_READ_MS = 400;

/** Runs a program's first steps, then returns those whose turn is missing on the present owner. */
function missingAfter(
  cluster: Cluster,
  opts: { steps: number; failure: (owner: string) => Effect.Effect<void> },
): Effect.Effect<string[], unknown> {
  return Effect.gen(function* () {
    const program = yield* cluster.drive(cluster.open("n0"));
    const owner = cluster.ownerOf(program);
    const via = cluster.otherThan(owner);
    const answered: number[] = [];
    for (let step = 1; step <= opts.steps; step++) {
      const outcome = yield* cluster.drive(
        Effect.result(cluster.callModel(via, { program, step, content: `s${step}` })),
      );
      if (Result.isSuccess(outcome)) answered.push(step);
    }
    yield* opts.failure(owner);
    const history = yield* cluster.drive(Effect.result(cluster.history(via, program)));
    if (Result.isFailure(history)) return [`the program is lost: ${history.failure.message}`];
    const kept = history.success.turns.map(({ step }) => step);
    return answered.filter((step) => !kept.includes(step)).map((step) =>
      `step ${step} was answered and is lost`
    );
  });
}

/** Answers before the record is durable. */
function answerEarly({ core }: INode): void {
  replace(core.writer, "write", (record) =>
    Effect.sync(() => {
      core.state.applyLocally(record);
      return Durability.Journal;
    }));
}

/** Says that copies are held, and keeps none. */
function holdNothing({ core }: INode): void {
  replace(core.copies, "hold", () => true);
}

proof("2: an owner killed right after an answer", {
  nodes: 3,
  sabotage: answerEarly,
  scenario: (cluster) => missingAfter(cluster, { steps: 3, failure: (owner) => cluster.kill(owner) }),
});

/** Believes that the journal has been read to its end. */
function readBehind({ core }: INode): void {
  replace(core.journal, "awaitConfirmed", () => Effect.succeed(true));
}

proof("2: a sub-program's owner that reads the journal late knows the parent", {
  nodes: 3,
  sabotage: readBehind,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const id = "test-parent";
      const names = Array.from({ length: 20 }, (_, index) => `test-child-${index}`);
      const childId = names.find((name) => cluster.ownerOf(name) !== cluster.ownerOf(id))!;
      cluster.node(cluster.ownerOf(childId)).logReadDelayMs = LATE_READ_MS;
      yield* cluster.advance(2 * LATE_READ_MS);
      const parentId = yield* cluster.drive(cluster.open("n0", { id }));
      const opened = yield* cluster.drive(Effect.result(cluster.open("n0", { id: childId, parentId })));
      return Result.isSuccess(opened) ? [] : [`the parent is unknown: ${opened.failure.message}`];
    }),
});

proof("2: two instances killed at once", {
  nodes: 5,
  sabotage: answerEarly,
  scenario: (cluster) =>
    missingAfter(cluster, {
      steps: 3,
      failure: (owner) => {
        const second = cluster.live.filter(({ id }) => id !== owner).at(-1)!.id;
        return Effect.andThen(cluster.kill(owner), cluster.kill(second));
      },
    }),
});

proof("2: a store outage during which the owner is killed", {
  nodes: 5,
  sabotage: holdNothing,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      const via = cluster.otherThan(owner);
      cluster.log.set({ outage: true });
      const violations: string[] = [];
      for (let step = 1; step <= 2; step++) {
        const outcome = yield* cluster.drive(
          Effect.result(cluster.callModel(via, { program, step, content: `s${step}` })),
        );
        if (Result.isFailure(outcome)) {
          violations.push(`step ${step} failed during the outage: ${outcome.failure.message}`);
        }
      }
      yield* cluster.kill(owner);
      yield* cluster.advance(3000);
      cluster.log.set({ outage: false });
      yield* cluster.until(() => cluster.ownerOf(program) !== owner, "a new owner");
      const history = yield* cluster.drive(Effect.result(cluster.history(via, program)));
      const kept = Result.isSuccess(history) ? history.success.turns.length : 0;
      return [...violations, ...kept === 2 ? [] : [`${2 - kept} of 2 answered steps are lost`]];
    }),
});

proof("2: a log that keeps less than a program's life", {
  nodes: 3,
  timing: { checkpointMs: 2000 },
  sabotage: ({ core }) => replace(core.checkpoints, "write", () => Effect.void),
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.log.set({ keep: 30 });
      const program = yield* cluster.drive(cluster.open("n0"));
      yield* cluster.drive(cluster.callModel("n0", { program, step: 1, content: "old" }));
      // Other programs push the records of the first one out of the log.
      for (let round = 0; round < 24; round++) {
        const other = yield* cluster.drive(cluster.open("n1"));
        yield* cluster.drive(cluster.callModel("n1", { program: other, step: 1, content: "new" }));
        yield* cluster.advance(250);
      }
      const late = yield* cluster.startNode("n3");
      yield* cluster.until(
        () => late.core.state.views.current?.find(late.core.self) !== undefined,
        "the newcomer's view",
      );
      yield* cluster.advance(3000);
      return late.core.state.programs.get(program)?.turns.length === 1
        ? []
        : ["a newcomer does not know the program"];
    }),
});
