import { Effect, Result } from "effect";
import { Ran } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import { BackendError } from "../../src/routing/common/model_engine.ts";
import type { ServiceCore } from "../stand_ins/service_core.ts";
import type { Cluster } from "../harness/cluster.ts";
import { testGuarantee } from "./proof.ts";

const isNotRun = Object.getOwnPropertyDescriptor(BackendError.prototype, "isNotRun")!;

/** Faults of the backend servers, tested one after the other. */
const FAULTS: readonly ((service: ServiceCore) => void)[] = [
  ({ faults }) => faults.cutsAfterEffect = 1,
  ({ faults }) => faults.refusing = true,
  ({ faults }) => faults.crashed = true,
  ({ faults }) => faults.hanging = true,
];

function clearFaults(cluster: Cluster): void {
  cluster.services.forEach(({ faults }) =>
    Object.assign(faults, { crashed: false, refusing: false, hanging: false, cutsAfterEffect: 0 })
  );
}

testGuarantee("6: a call reported as not run did not run", {
  nodes: 3,
  disableMechanism: () =>
    Object.defineProperty(BackendError.prototype, "isNotRun", { get: () => true, configurable: true }),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const violations: string[] = [];
      for (const [index, fault] of FAULTS.entries()) {
        for (const via of ["n0", "n1", "n2"]) {
          clearFaults(cluster);
          cluster.services.forEach(fault);
          const program = yield* cluster.runToCompletion(cluster.open(via));
          const key = `${index}-${via}`;
          const call = cluster.callService(via, { program, step: 1, operation: "act", key });
          const outcome = yield* cluster.runToCompletion(Effect.result(call));
          const ran = cluster.executionCounts.get(`c/api/act/${key}`) ?? 0;
          if (Result.isFailure(outcome) && outcome.failure.ran === Ran.NOT_RUN && ran > 0) {
            violations.push(`${key} was reported as not run and ran ${ran} times`);
          }
          if (Result.isSuccess(outcome) && ran !== 1) {
            violations.push(`${key} succeeded and ran ${ran} times`);
          }
          yield* cluster.advance(1100);
        }
      }
      Object.defineProperty(BackendError.prototype, "isNotRun", isNotRun);
      return violations;
    }),
});

testGuarantee("6: a call reported as not run can be retried and runs once", {
  nodes: 2,
  // If the key is not released, the retry is answered as if the call had run.
  disableMechanism: ({ core }) => {
    core.state.idempotencyKeys.cancel = () => false;
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      cluster.services.forEach(({ faults }) => faults.refusing = true);
      const call = cluster.callService("n0", { program, step: 1, operation: "act", key: "k" });
      const refused = yield* cluster.runToCompletion(Effect.result(call));
      clearFaults(cluster);
      yield* cluster.advance(2000);
      const resent = yield* cluster.runToCompletion(Effect.result(call));
      const violations = Result.isFailure(refused) && refused.failure.ran === Ran.NOT_RUN
        ? []
        : ["the refused call was not reported as not run"];
      if (Result.isFailure(resent)) violations.push(`the retry failed: ${resent.failure.message}`);
      if (cluster.executionCounts.get("c/api/act/k") !== 1) {
        violations.push("the call did not run exactly once");
      }
      return violations;
    }),
});

testGuarantee("6: non-repeatable calls during a store outage are refused without running", {
  nodes: 3,
  disableMechanism: ({ core }) => {
    core.writer.writeToJournal = () => Effect.succeed(true);
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      cluster.log.setFaults({ outage: true });
      const call = cluster.callService("n1", { program, step: 1, operation: "act", key: "k" });
      const refused = yield* cluster.runToCompletion(Effect.result(call));
      const isRefused = Result.isFailure(refused) && refused.failure.ran === Ran.NOT_RUN &&
        refused.failure.retryAfterMs > 0;
      const ranEarly = cluster.executionCounts.get("c/api/act/k") ?? 0;
      cluster.log.setFaults({ outage: false });
      yield* cluster.advance(5000);
      const resent = yield* cluster.runToCompletion(Effect.result(call));
      const ran = cluster.executionCounts.get("c/api/act/k") ?? 0;
      return [
        ...isRefused ? [] : ["the call was not refused as not run with a retry delay"],
        ...ranEarly === 0 ? [] : ["the call ran during the outage"],
        ...Result.isSuccess(resent) && ran === 1 ? [] : [`after the outage the call ran ${ran} times`],
      ];
    }),
});
