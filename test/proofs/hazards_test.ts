import { Effect, Result } from "effect";
import { Reason } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import { CRASHING_CONTENT } from "../stand_ins/engine_core.ts";
import { CRASHING_BODY } from "../stand_ins/service_core.ts";
import type { Cluster } from "../harness/cluster.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

function crashCount(cluster: Cluster): number {
  return cluster.engines.reduce((sum, { stats }) => sum + stats.crashes, 0);
}

/** Restarts crashed engines after a delay, as a process supervisor does. */
function restartCrashedEngines(cluster: Cluster): Effect.Effect<void> {
  return Effect.gen(function* () {
    yield* cluster.advance(1500);
    cluster.engines.filter(({ faults }) => faults.crashed).forEach((engine) => engine.restart());
    yield* cluster.advance(1500);
  });
}

testGuarantee("11: a request that crashes engines is quarantined after two crashes", {
  nodes: 3,
  engines: 4,
  disableMechanism: ({ core }) => replaceMethod(core.state.strikes, "add", () => true),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const violations: string[] = [];
      for (let attempt = 0; attempt < 3; attempt++) {
        const via = `n${attempt}`;
        const program = yield* cluster.runToCompletion(cluster.open(via));
        const call = cluster.callModel(via, { program, step: 1, content: CRASHING_CONTENT });
        const outcome = yield* cluster.runToCompletion(Effect.result(call));
        const isQuarantined = Result.isFailure(outcome) && outcome.failure.reason === Reason.QUARANTINED;
        if (!isQuarantined) violations.push(`attempt ${attempt} was not quarantined`);
        yield* restartCrashedEngines(cluster);
      }
      if (crashCount(cluster) > 2) violations.push(`${crashCount(cluster)} engines crashed`);
      return violations;
    }),
});

testGuarantee("11: requests that run beside a crashing request are not quarantined", {
  nodes: 3,
  engines: 4,
  // Quarantines every request after its first crash.
  disableMechanism: ({ core }) =>
    replaceMethod(
      core.state.strikes,
      "isQuarantined",
      (fingerprint) => core.state.strikes.isSuspect(fingerprint),
    ),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const programs = yield* cluster.runToCompletion(
        Effect.all(Array.from({ length: 9 }, (_, index) => cluster.open(`n${index % 3}`))),
      );
      const calls = programs.map((program, index) => {
        const content = index === 4 ? CRASHING_CONTENT : `answer:60 for ${index}`;
        return Effect.result(
          cluster.callModel(`n${index % 3}`, { program, step: 1, content, maxTokens: 60 }),
        );
      });
      const outcomes = yield* cluster.runToCompletion(Effect.all(calls, { concurrency: "unbounded" }));
      return outcomes.flatMap((outcome, index) => {
        if (index === 4 || Result.isSuccess(outcome)) return [];
        return [`request ${index}: ${Reason[outcome.failure.reason]}`];
      });
    }),
});

testGuarantee("11: a call to a hanging service is retried on another backend server", {
  nodes: 2,
  // Always chooses the backend server that hangs.
  disableMechanism: ({ core }) => {
    const { chooseServiceBackend } = core.registry;
    replaceMethod(
      core.registry,
      "chooseServiceBackend",
      (service) => chooseServiceBackend.call(core.registry, service, new Set(["s1"])),
    );
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.services[0].faults.hanging = true;
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const violations: string[] = [];
      for (let step = 1; step <= 3; step++) {
        const call = cluster.callService("n1", { program, step, operation: "read" });
        const outcome = yield* cluster.runToCompletion(Effect.result(call));
        if (Result.isFailure(outcome)) violations.push(`step ${step}: ${outcome.failure.message}`);
      }
      return violations;
    }),
});

testGuarantee("11: a request that crashes backend servers of a service is quarantined after two crashes", {
  nodes: 2,
  services: 5,
  disableMechanism: ({ core }) => replaceMethod(core.state.strikes, "add", () => true),
  scenario: (cluster) =>
    Effect.gen(function* () {
      for (const via of ["n0", "n1"]) {
        const program = yield* cluster.runToCompletion(cluster.open(via));
        const body = JSON.stringify({ content: CRASHING_BODY });
        const call = cluster.callService(via, { program, step: 1, operation: "read", body });
        yield* cluster.runToCompletion(Effect.result(call));
      }
      const crashed = cluster.services.filter(({ faults }) => faults.crashed).length;
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const other = cluster.callService("n0", { program, step: 1, operation: "read" });
      const outcome = yield* cluster.runToCompletion(Effect.result(other));
      return [
        ...crashed <= 2 ? [] : [`${crashed} backend servers crashed`],
        ...Result.isSuccess(outcome) ? [] : ["no backend server is available"],
      ];
    }),
});
