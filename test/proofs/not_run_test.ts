import { Effect, Result } from "effect";
import { Ran } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import { BackendError } from "../../src/routing/common/model_engine.ts";
import type { ServiceCore } from "../stand_ins/service_core.ts";
import type { Cluster } from "../harness/cluster.ts";
import { proof } from "./proof.ts";

const isNotRun = Object.getOwnPropertyDescriptor(BackendError.prototype, "isNotRun")!;

/** Faults of the backend servers, one after the other. */
const FAULTS: readonly ((service: ServiceCore) => void)[] = [
  ({ faults }) => faults.cutsAfterEffect = 1,
  ({ faults }) => faults.refusing = true,
  ({ faults }) => faults.crashed = true,
  ({ faults }) => faults.hanging = true,
];

function reset(cluster: Cluster): void {
  cluster.services.forEach(({ faults }) =>
    Object.assign(faults, { crashed: false, refusing: false, hanging: false, cutsAfterEffect: 0 })
  );
}

proof("6: refused as not run means that it did not run", {
  nodes: 3,
  sabotage: () =>
    Object.defineProperty(BackendError.prototype, "isNotRun", { get: () => true, configurable: true }),
  scenario: (cluster) =>
    Effect.gen(function* () {
      const violations: string[] = [];
      for (const [index, fault] of FAULTS.entries()) {
        for (const via of ["n0", "n1", "n2"]) {
          reset(cluster);
          cluster.services.forEach(fault);
          const program = yield* cluster.drive(cluster.open(via));
          const key = `${index}-${via}`;
          const call = cluster.callService(via, { program, step: 1, operation: "act", key });
          const outcome = yield* cluster.drive(Effect.result(call));
          const ran = cluster.counts.get(`c/api/act/${key}`) ?? 0;
          if (Result.isFailure(outcome) && outcome.failure.ran === Ran.NOT_RUN && ran > 0) {
            violations.push(`${key} was called not run and ran ${ran} times`);
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

proof("6: what was refused as not run may be sent again, and runs once", {
  nodes: 2,
  // Without freeing the key, the resend would be answered as if it had run.
  sabotage: ({ core }) => {
    core.state.keys.cancel = () => false;
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      cluster.services.forEach(({ faults }) => faults.refusing = true);
      const call = cluster.callService("n0", { program, step: 1, operation: "act", key: "k" });
      const refused = yield* cluster.drive(Effect.result(call));
      reset(cluster);
      yield* cluster.advance(2000);
      const resent = yield* cluster.drive(Effect.result(call));
      const violations = Result.isFailure(refused) && refused.failure.ran === Ran.NOT_RUN
        ? []
        : ["not refused as not run"];
      if (Result.isFailure(resent)) violations.push(`the resend failed: ${resent.failure.message}`);
      if (cluster.counts.get("c/api/act/k") !== 1) violations.push("it did not run once");
      return violations;
    }),
});

proof("6: a store outage refuses once-only calls without running them", {
  nodes: 3,
  sabotage: ({ core }) => {
    core.writer.writeToJournal = () => Effect.succeed(true);
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      cluster.log.set({ outage: true });
      const call = cluster.callService("n1", { program, step: 1, operation: "act", key: "k" });
      const refused = yield* cluster.drive(Effect.result(call));
      const isRefused = Result.isFailure(refused) && refused.failure.ran === Ran.NOT_RUN &&
        refused.failure.retryAfterMs > 0;
      const ranEarly = cluster.counts.get("c/api/act/k") ?? 0;
      cluster.log.set({ outage: false });
      yield* cluster.advance(5000);
      const resent = yield* cluster.drive(Effect.result(call));
      const ran = cluster.counts.get("c/api/act/k") ?? 0;
      return [
        ...isRefused ? [] : ["not refused as not run with a time to come back"],
        ...ranEarly === 0 ? [] : ["it ran during the outage"],
        ...Result.isSuccess(resent) && ran === 1 ? [] : [`after the outage it ran ${ran} times`],
      ];
    }),
});
