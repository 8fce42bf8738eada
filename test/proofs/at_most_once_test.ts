import { Deferred, Effect, Fiber, Result } from "effect";
import { Ran, Reason } from "../../src/base/common/gen/ragwortcleat/v1/common_pb.ts";
import type { Cluster, INode } from "../harness/cluster.ts";
import { proof, replace } from "./proof.ts";

/** Forgets keys and lets every intent pass. */
function forgetKeys({ core }: INode): void {
  replace(core.state.keys, "get", () => undefined);
  replace(core.state.keys, "claim", () => true);
}

function runTwice(cluster: Cluster): string[] {
  return [...cluster.counts].filter(([key, count]) => key.startsWith("c/") && count > 1).map(([key]) => key);
}

proof("7: an owner paused between intent and dispatch, and its successor", {
  nodes: 3,
  sabotage: forgetKeys,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      const other = cluster.otherThan(owner);
      const backends = cluster.services.map((service) => service.run.bind(service));
      // The owner freezes when its request is on the way to the backend server.
      cluster.services.forEach((service, index) =>
        replace(service, "run", (req) => {
          if (cluster.node(owner).frozen !== undefined || cluster.node(owner).isDead) {
            return backends[index](req);
          }
          cluster.freeze(owner);
          const { frozen } = cluster.node(owner);
          // It goes out on resumption, whatever the sender's timers say by then.
          const sent = Effect.forkDetach(Effect.andThen(Deferred.await(frozen!), backends[index](req)));
          return Effect.flatMap(sent, Fiber.join);
        })
      );
      const first = yield* Effect.forkDetach(
        Effect.result(cluster.callService(owner, { program, step: 1, operation: "act" })),
      );
      yield* cluster.until(() => cluster.node(owner).frozen !== undefined, "the freeze");
      yield* cluster.until(
        () => cluster.ownerOf(program) !== owner && cluster.node(other).core.handOver.isSettled,
        "a successor",
      );
      const second = yield* cluster.drive(
        Effect.result(cluster.callService(other, { program, step: 1, operation: "act" })),
      );
      cluster.thaw(owner);
      yield* cluster.drive(Fiber.await(first));
      const wasCalledNotRun = Result.isFailure(second) && second.failure.ran === Ran.NOT_RUN;
      return [...runTwice(cluster), ...wasCalledNotRun ? ["called not run"] : []];
    }),
});

proof("7: the same key through another program and another instance", {
  nodes: 3,
  sabotage: forgetKeys,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const programs = yield* cluster.drive(
        Effect.all([cluster.open("n0"), cluster.open("n1"), cluster.open("n2")]),
      );
      const calls = programs.map((program, index) =>
        Effect.result(cluster.callService(`n${index}`, { program, step: 1, operation: "act", key: "bid-1" }))
      );
      yield* cluster.drive(Effect.all(calls, { concurrency: "unbounded" }));
      // A later resend gets the recorded outcome.
      const late = yield* cluster.drive(cluster.open("n1"));
      const resent = Effect.result(
        cluster.callService("n1", { program: late, step: 1, operation: "act", key: "bid-1" }),
      );
      const outcome = yield* cluster.drive(resent);
      return [...runTwice(cluster), ...Result.isSuccess(outcome) ? [] : ["no recorded outcome"]];
    }),
});

proof("7: an append whose answer is lost, twice", {
  nodes: 2,
  sabotage: forgetKeys,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      cluster.log.set({ answersToLose: 2 });
      const calls = ["n0", "n1"].map((via) =>
        Effect.result(cluster.callService(via, { program, step: 1, operation: "act", key: "order" }))
      );
      yield* cluster.drive(Effect.all(calls, { concurrency: "unbounded" }));
      const again = yield* cluster.drive(cluster.open("n1"));
      yield* cluster.drive(
        Effect.result(cluster.callService("n1", { program: again, step: 1, operation: "act", key: "order" })),
      );
      return runTwice(cluster);
    }),
});

proof("7: a service that hangs after taking effect", {
  nodes: 2,
  sabotage: forgetKeys,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      cluster.services.forEach(({ faults }) => faults.hanging = true);
      const hung = Effect.result(
        cluster.callService("n0", { program, step: 1, operation: "act", key: "hold" }),
      );
      const outcome = yield* cluster.drive(hung);
      cluster.services.forEach(({ faults }) => faults.hanging = false);
      const again = yield* cluster.drive(cluster.open("n1"));
      yield* cluster.drive(
        Effect.result(cluster.callService("n1", { program: again, step: 1, operation: "act", key: "hold" })),
      );
      const isUnknown = Result.isFailure(outcome) && outcome.failure.reason === Reason.OUTCOME_UNKNOWN;
      return [...runTwice(cluster), ...isUnknown ? [] : ["not called unknown"]];
    }),
});

proof("7: an owner killed after dispatch", {
  nodes: 3,
  sabotage: forgetKeys,
  scenario: (cluster) =>
    Effect.gen(function* () {
      const program = yield* cluster.drive(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      const other = cluster.otherThan(owner);
      cluster.services.forEach(({ faults }) => faults.delayMs = 200);
      const call = cluster.callService(other, { program, step: 1, operation: "act" });
      const fiber = yield* Effect.forkDetach(Effect.result(call));
      yield* cluster.until(() => cluster.services.some(({ arrivals }) => arrivals > 0), "the dispatch");
      yield* cluster.advance(50);
      yield* cluster.kill(owner);
      yield* cluster.drive(Fiber.await(fiber));
      return runTwice(cluster);
    }),
});
