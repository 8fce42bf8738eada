import { Effect } from "effect";
import { BackendCondition, EngineState } from "../../src/routing/common/engine_state.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

/** Time after which a leaving backend server must receive no new work. */
const LEAVING_GRACE_MS = 3000;

const accepts = EngineState.prototype.accepts;

testGuarantee("8: a leaving engine receives no new work after a few seconds", {
  nodes: 3,
  engines: 2,
  disableMechanism: () =>
    replaceMethod(EngineState.prototype, "accepts", function (this: EngineState) {
      return this.condition !== BackendCondition.Suspect && this.loadReport !== undefined;
    }),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const programs = yield* cluster.runToCompletion(
        Effect.all(["n0", "n1", "n2"].map((via) => cluster.open(via))),
      );
      const callAll = (step: number) =>
        Effect.all(
          programs.map((program, index) =>
            cluster.callModel(`n${index}`, { program, step, content: `s${step}` })
          ),
          { concurrency: "unbounded" },
        );
      yield* cluster.runToCompletion(callAll(1));
      // The engine that has cached most of the programs leaves.
      const [leavingBackend] = [...cluster.engines].sort((a, b) => b.stats.started - a.stats.started);
      cluster.leavingBackendIds.add(leavingBackend.id);
      yield* cluster.advance(LEAVING_GRACE_MS);
      const before = leavingBackend.stats.started;
      for (let step = 2; step <= 4; step++) yield* cluster.runToCompletion(callAll(step));
      replaceMethod(EngineState.prototype, "accepts", accepts);
      const after = leavingBackend.stats.started - before;
      return after === 0 ? [] : [`${after} calls were sent to the leaving engine`];
    }),
});

testGuarantee("8: a leaving backend server of a service receives no new work after a few seconds", {
  nodes: 2,
  disableMechanism: ({ core }) => {
    const { registry } = core;
    registry.chooseServiceBackend = () => Effect.sync(() => registry.services[0]);
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const [leavingBackend] = cluster.services;
      cluster.leavingBackendIds.add(leavingBackend.id);
      yield* cluster.advance(LEAVING_GRACE_MS);
      for (let step = 1; step <= 6; step++) {
        yield* cluster.runToCompletion(cluster.callService("n1", { program, step, operation: "read" }));
      }
      return leavingBackend.requestCount === 0
        ? []
        : [`${leavingBackend.requestCount} calls were sent to the leaving backend server`];
    }),
});

testGuarantee("8: the cache of a program is migrated from a leaving engine", {
  nodes: 2,
  engines: 2,
  disableMechanism: (_, cluster) => {
    for (const engine of cluster.engines) replaceMethod(engine, "exportKv", () => 0);
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      yield* cluster.runToCompletion(
        cluster.callModel("n0", { program, step: 1, content: "x".repeat(8000) }),
      );
      const source = cluster.engines.find(({ cachedProgramIds }) => cachedProgramIds.length > 0)!;
      cluster.leavingBackendIds.add(source.id);
      yield* cluster.advance(LEAVING_GRACE_MS);
      yield* cluster.runToCompletion(cluster.callModel("n1", { program, step: 2, content: "more" }));
      const prefilled = cluster.engines.reduce((sum, { stats }) => sum + stats.prefilledTokens, 0);
      const remaining = source.cachedProgramIds.length;
      return [
        ...prefilled < 3000 ? [] : [`${prefilled} tokens prefilled`],
        ...remaining === 0 ? [] : ["the leaving engine still caches the program"],
      ];
    }),
});
