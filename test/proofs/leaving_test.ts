import { Effect } from "effect";
import { BackendCondition, EngineState } from "../../src/routing/common/engine_state.ts";
import { proof, replace } from "./proof.ts";

/** Time within which a leaving backend server must be left alone. */
const FEW_SECONDS_MS = 3000;

const accepts = EngineState.prototype.accepts;

proof("8: a leaving engine gets no new work after a few seconds", {
  nodes: 3,
  engines: 2,
  sabotage: () =>
    replace(EngineState.prototype, "accepts", function (this: EngineState) {
      return this.condition !== BackendCondition.Suspect && this.report !== undefined;
    }),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const programs = yield* cluster.drive(Effect.all(["n0", "n1", "n2"].map((via) => cluster.open(via))));
      const callAll = (step: number) =>
        Effect.all(
          programs.map((program, index) =>
            cluster.callModel(`n${index}`, { program, step, content: `s${step}` })
          ),
          { concurrency: "unbounded" },
        );
      yield* cluster.drive(callAll(1));
      // The engine that holds the caches leaves.
      const [leaver] = [...cluster.engines].sort((a, b) => b.stats.started - a.stats.started);
      cluster.leaving.add(leaver.id);
      yield* cluster.advance(FEW_SECONDS_MS);
      const before = leaver.stats.started;
      for (let step = 2; step <= 4; step++) yield* cluster.drive(callAll(step));
      replace(EngineState.prototype, "accepts", accepts);
      const after = leaver.stats.started - before;
      return after === 0 ? [] : [`${after} calls went to the leaving engine`];
    }),
});

proof("8: a leaving backend server of a service gets no new work after a few seconds", {
  nodes: 2,
  sabotage: ({ core }) => {
    const { registry } = core;
    registry.chooseService = () => Effect.sync(() => registry.services[0]);
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      const [leaver] = cluster.services;
      cluster.leaving.add(leaver.id);
      yield* cluster.advance(FEW_SECONDS_MS);
      for (let step = 1; step <= 6; step++) {
        yield* cluster.drive(cluster.callService("n1", { program, step, operation: "read" }));
      }
      return leaver.arrivals === 0 ? [] : [`${leaver.arrivals} calls went to the leaving server`];
    }),
});

proof("8: a program takes its cache along from a leaving engine", {
  nodes: 2,
  engines: 2,
  sabotage: (_, cluster) => {
    for (const engine of cluster.engines) replace(engine, "exportKv", () => 0);
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      yield* cluster.drive(cluster.callModel("n0", { program, step: 1, content: "x".repeat(8000) }));
      const source = cluster.engines.find(({ heldPrograms }) => heldPrograms.length > 0)!;
      cluster.leaving.add(source.id);
      yield* cluster.advance(FEW_SECONDS_MS);
      yield* cluster.drive(cluster.callModel("n1", { program, step: 2, content: "more" }));
      const wasted = cluster.engines.reduce((sum, { stats }) => sum + stats.prefilledTokens, 0);
      const left = source.heldPrograms.length;
      return [
        ...wasted < 3000 ? [] : [`${wasted} tokens prefilled`],
        ...left === 0 ? [] : ["the source still holds it"],
      ];
    }),
});
