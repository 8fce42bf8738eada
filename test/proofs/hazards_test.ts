import { Effect, Result } from "effect";
import { Reason } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import { POISON } from "../stand_ins/engine_core.ts";
import { POISON_BODY } from "../stand_ins/service_core.ts";
import type { Cluster } from "../harness/cluster.ts";
import { proof, replace } from "./proof.ts";

function crashes(cluster: Cluster): number {
  return cluster.engines.reduce((sum, { stats }) => sum + stats.crashes, 0);
}

/** Brings crashed engines back after a while, as an operator's supervisor does. */
function restartLater(cluster: Cluster): Effect.Effect<void> {
  return Effect.gen(function* () {
    yield* cluster.advance(1500);
    cluster.engines.filter(({ faults }) => faults.crashed).forEach((engine) => engine.restart());
    yield* cluster.advance(1500);
  });
}

proof("11: a request that crashes engines is quarantined after two", {
  nodes: 3,
  engines: 4,
  sabotage: ({ core }) => replace(core.state.strikes, "add", () => true),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const violations: string[] = [];
      for (let resend = 0; resend < 3; resend++) {
        const via = `n${resend}`;
        const program = yield* cluster.drive(cluster.open(via));
        const call = cluster.callModel(via, { program, step: 1, content: POISON });
        const outcome = yield* cluster.drive(Effect.result(call));
        const isFinal = Result.isFailure(outcome) && outcome.failure.reason === Reason.QUARANTINED;
        if (!isFinal) violations.push(`resend ${resend} was not refused for good`);
        yield* restartLater(cluster);
      }
      if (crashes(cluster) > 2) violations.push(`${crashes(cluster)} engines crashed`);
      return violations;
    }),
});

proof("11: bystanders of a crashing request are not condemned", {
  nodes: 3,
  engines: 4,
  // Condemns at the first strike.
  sabotage: ({ core }) =>
    replace(core.state.strikes, "isQuarantined", (fingerprint) => core.state.strikes.isSuspect(fingerprint)),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const programs = yield* cluster.drive(
        Effect.all(Array.from({ length: 9 }, (_, index) => cluster.open(`n${index % 3}`))),
      );
      const calls = programs.map((program, index) => {
        const content = index === 4 ? POISON : `answer:60 for ${index}`;
        return Effect.result(
          cluster.callModel(`n${index % 3}`, { program, step: 1, content, maxTokens: 60 }),
        );
      });
      const outcomes = yield* cluster.drive(Effect.all(calls, { concurrency: "unbounded" }));
      return outcomes.flatMap((outcome, index) => {
        if (index === 4 || Result.isSuccess(outcome)) return [];
        return [`bystander ${index}: ${Reason[outcome.failure.reason]}`];
      });
    }),
});

proof("11: a tool that hangs is left for another server", {
  nodes: 2,
  // Goes back to the server that failed.
  sabotage: ({ core }) => {
    const { chooseService } = core.registry;
    replace(
      core.registry,
      "chooseService",
      (service) => chooseService.call(core.registry, service, new Set(["s1"])),
    );
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.services[0].faults.hanging = true;
      const program = yield* cluster.drive(cluster.open("n0"));
      const violations: string[] = [];
      for (let step = 1; step <= 3; step++) {
        const call = cluster.callService("n1", { program, step, operation: "read" });
        const outcome = yield* cluster.drive(Effect.result(call));
        if (Result.isFailure(outcome)) violations.push(`step ${step}: ${outcome.failure.message}`);
      }
      return violations;
    }),
});

proof("11: a request that crashes servers of a service is quarantined after two", {
  nodes: 2,
  services: 5,
  sabotage: ({ core }) => replace(core.state.strikes, "add", () => true),
  scenario: (cluster) =>
    Effect.gen(function* () {
      for (const via of ["n0", "n1"]) {
        const program = yield* cluster.drive(cluster.open(via));
        const body = JSON.stringify({ content: POISON_BODY });
        const call = cluster.callService(via, { program, step: 1, operation: "read", body });
        yield* cluster.drive(Effect.result(call));
      }
      const crashed = cluster.services.filter(({ faults }) => faults.crashed).length;
      const program = yield* cluster.drive(cluster.open("n0"));
      const other = cluster.callService("n0", { program, step: 1, operation: "read" });
      const outcome = yield* cluster.drive(Effect.result(other));
      return [
        ...crashed <= 2 ? [] : [`${crashed} servers crashed`],
        ...Result.isSuccess(outcome) ? [] : ["no server is left"],
      ];
    }),
});
