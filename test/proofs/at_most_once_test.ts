import { Deferred, Effect, Fiber, Result } from "effect";
import { Ran, Reason } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Cluster, INode } from "../harness/cluster.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

/** Ignores recorded idempotency keys and accepts every intent. */
function disableKeyChecks({ core }: INode): void {
  replaceMethod(core.state.idempotencyKeys, "get", () => undefined);
  replaceMethod(core.state.idempotencyKeys, "claim", () => true);
}

function duplicateExecutions(cluster: Cluster): string[] {
  return [...cluster.executionCounts].filter(([key, count]) => key.startsWith("c/") && count > 1).map((
    [key],
  ) => key);
}

testGuarantee("7: a call whose owner is frozen between intent and dispatch runs at most once", {
  nodes: 3,
  disableMechanism: disableKeyChecks,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      const other = cluster.anyOtherNode(owner);
      const backends = cluster.services.map((service) => service.run.bind(service));
      // Freezes the owner while its request is in flight to the backend server.
      cluster.services.forEach((service, index) =>
        replaceMethod(service, "run", (req) => {
          if (cluster.node(owner).frozen !== undefined || cluster.node(owner).isKilled) {
            return backends[index](req);
          }
          cluster.freeze(owner);
          const { frozen } = cluster.node(owner);
          // The request is delivered on thawing even if the sender has timed out by then.
          const sent = Effect.forkDetach(Effect.andThen(Deferred.await(frozen!), backends[index](req)));
          return Effect.flatMap(sent, Fiber.join);
        })
      );
      const first = yield* Effect.forkDetach(
        Effect.result(cluster.callService(owner, { program, step: 1, operation: "act" })),
      );
      yield* cluster.advanceUntil(() => cluster.node(owner).frozen !== undefined, "the owner to freeze");
      yield* cluster.advanceUntil(
        () => cluster.ownerOf(program) !== owner && cluster.node(other).core.handover.isComplete,
        "a successor",
      );
      const second = yield* cluster.runToCompletion(
        Effect.result(cluster.callService(other, { program, step: 1, operation: "act" })),
      );
      cluster.thaw(owner);
      yield* cluster.runToCompletion(Fiber.await(first));
      const wasReportedNotRun = Result.isFailure(second) && second.failure.ran === Ran.NOT_RUN;
      return [
        ...duplicateExecutions(cluster),
        ...wasReportedNotRun ? ["the call was reported as not run"] : [],
      ];
    }),
});

testGuarantee("7: calls with the same key from several programs and instances run once", {
  nodes: 3,
  disableMechanism: disableKeyChecks,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const programs = yield* cluster.runToCompletion(
        Effect.all([cluster.open("n0"), cluster.open("n1"), cluster.open("n2")]),
      );
      const calls = programs.map((program, index) =>
        Effect.result(cluster.callService(`n${index}`, { program, step: 1, operation: "act", key: "bid-1" }))
      );
      yield* cluster.runToCompletion(Effect.all(calls, { concurrency: "unbounded" }));
      // A later retry receives the recorded outcome.
      const late = yield* cluster.runToCompletion(cluster.open("n1"));
      const resent = Effect.result(
        cluster.callService("n1", { program: late, step: 1, operation: "act", key: "bid-1" }),
      );
      const outcome = yield* cluster.runToCompletion(resent);
      return [
        ...duplicateExecutions(cluster),
        ...Result.isSuccess(outcome) ? [] : ["the retry did not get the recorded outcome"],
      ];
    }),
});

testGuarantee("7: a call runs at most once when two append responses are lost", {
  nodes: 2,
  disableMechanism: disableKeyChecks,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      cluster.log.setFaults({ answersToLose: 2 });
      const calls = ["n0", "n1"].map((via) =>
        Effect.result(cluster.callService(via, { program, step: 1, operation: "act", key: "order" }))
      );
      yield* cluster.runToCompletion(Effect.all(calls, { concurrency: "unbounded" }));
      const again = yield* cluster.runToCompletion(cluster.open("n1"));
      yield* cluster.runToCompletion(
        Effect.result(cluster.callService("n1", { program: again, step: 1, operation: "act", key: "order" })),
      );
      return duplicateExecutions(cluster);
    }),
});

testGuarantee("7: a call to a service that hangs after execution is not repeated", {
  nodes: 2,
  disableMechanism: disableKeyChecks,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      cluster.services.forEach(({ faults }) => faults.hanging = true);
      const hung = Effect.result(
        cluster.callService("n0", { program, step: 1, operation: "act", key: "hold" }),
      );
      const outcome = yield* cluster.runToCompletion(hung);
      cluster.services.forEach(({ faults }) => faults.hanging = false);
      const again = yield* cluster.runToCompletion(cluster.open("n1"));
      yield* cluster.runToCompletion(
        Effect.result(cluster.callService("n1", { program: again, step: 1, operation: "act", key: "hold" })),
      );
      const isUnknown = Result.isFailure(outcome) && outcome.failure.reason === Reason.OUTCOME_UNKNOWN;
      return [
        ...duplicateExecutions(cluster),
        ...isUnknown ? [] : ["the outcome was not reported as unknown"],
      ];
    }),
});

testGuarantee("7: a call whose owner is killed after dispatch runs at most once", {
  nodes: 3,
  disableMechanism: disableKeyChecks,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      const other = cluster.anyOtherNode(owner);
      cluster.services.forEach(({ faults }) => faults.delayMs = 200);
      const call = cluster.callService(other, { program, step: 1, operation: "act" });
      const fiber = yield* Effect.forkDetach(Effect.result(call));
      yield* cluster.advanceUntil(
        () => cluster.services.some(({ requestCount }) => requestCount > 0),
        "the dispatch",
      );
      yield* cluster.advance(50);
      yield* cluster.kill(owner);
      yield* cluster.runToCompletion(Fiber.await(fiber));
      return duplicateExecutions(cluster);
    }),
});
