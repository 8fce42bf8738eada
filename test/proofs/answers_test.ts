import { Effect, Fiber, Result } from "effect";
import { create } from "@bufbuild/protobuf";
import { CallRequestSchema } from "../../src/base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { decodeModelResponse } from "../../src/call/common/turn_content.ts";
import { DeliveredTokens } from "../../src/entry/common/delivered_tokens.ts";
import type { Cluster } from "../harness/cluster.ts";
import { expectedAnswerTokens } from "../stand_ins/engine_core.ts";
import { replaceMethod, testGuarantee } from "./proof.ts";

const CONTENT = "answer:40";
const EXPECTED = expectedAnswerTokens([{ content: CONTENT }], 40).join("");

testGuarantee("5: a stream interrupted by the engine is resumed without loss or repetition", {
  nodes: 2,
  disableMechanism: ({ core }) => {
    // Without the last event id, a resumed stream starts over and repeats tokens under new ids.
    for (const { client } of core.registry.engines) {
      const { generate } = client;
      replaceMethod(
        client,
        "generate",
        (req, onToken) =>
          generate.call(
            client,
            { ...req, lastEventId: undefined },
            ({ text }) => onToken({ eventId: nextId++, text }),
          ),
      );
    }
    let nextId = 0;
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.engines.forEach(({ faults }) => faults.cutAfter = 7);
      const program = yield* cluster.runToCompletion(cluster.open("n0"));
      const turn = yield* cluster.runToCompletion(
        cluster.callModel("n1", { program, step: 1, content: CONTENT, maxTokens: 40 }),
      );
      return decodeModelResponse(turn.answer).content === EXPECTED
        ? []
        : ["the answer is incomplete or wrong"];
    }),
});

/** Streams a call and returns what was sent to the caller, or undefined if the stream failed. */
function collectStream(
  cluster: Cluster,
  opts: { via: string; program: string; delivered: DeliveredTokens },
): Effect.Effect<string | undefined> {
  const sent: string[] = [];
  const value = { model: "m", messages: [{ role: "user", content: CONTENT }], maxTokens: 40 };
  const req = create(CallRequestSchema, {
    customer: "c",
    programId: opts.program,
    step: 1,
    wantTokens: true,
    call: { case: "model", value },
  });
  const call = cluster.node(opts.via).core.router.call(req, ({ index, text }) => {
    if (opts.delivered.accept(index, text)) sent.push(text);
  });
  return Effect.map(Effect.result(call), (outcome) => {
    if (Result.isFailure(outcome)) return undefined;
    const remainder = opts.delivered.remainderOf(decodeModelResponse(outcome.success.turn.answer).content);
    return remainder === undefined ? undefined : sent.join("") + remainder;
  });
}

testGuarantee(
  "5: no mixture of answers is sent when an owner is killed mid-stream and engines are nondeterministic",
  {
    nodes: 3,
    disableMechanism: () => {
      replaceMethod(DeliveredTokens.prototype, "accept", () => true);
      replaceMethod(DeliveredTokens.prototype, "remainderOf", () => "");
    },
    scenario: (cluster) =>
      Effect.gen(function* () {
        cluster.engines.forEach(({ faults }) => faults.unsteady = true);
        const program = yield* cluster.runToCompletion(cluster.open("n0"));
        const owner = cluster.ownerOf(program);
        const via = cluster.anyOtherNode(owner);
        const fiber = yield* Effect.forkDetach(
          collectStream(cluster, { via, program, delivered: new DeliveredTokens() }),
        );
        yield* cluster.advanceUntil(
          () => cluster.engines.some(({ stats }) => stats.generatedTokens > 10),
          "some tokens",
        );
        yield* cluster.kill(owner);
        const sent = yield* cluster.runToCompletion(Fiber.join(fiber));
        const { turns } = yield* cluster.runToCompletion(cluster.history(via, program));
        const recorded = turns[0] === undefined ? undefined : decodeModelResponse(turns[0].answer).content;
        return sent === undefined || sent === recorded
          ? []
          : ["the caller was sent a mixture of two answers"];
      }),
  },
);

testGuarantee("5: concurrent answers that finish in a different order reach their own callers", {
  nodes: 3,
  // With one shared attempt id, the engine treats the attempts of different calls as one.
  disableMechanism: ({ core }) => {
    for (const { client } of core.registry.engines) {
      const { generate } = client;
      replaceMethod(
        client,
        "generate",
        (req, onToken) => generate.call(client, { ...req, attemptId: "one" }, onToken),
      );
    }
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const programs = yield* cluster.runToCompletion(
        Effect.all(Array.from({ length: 9 }, (_, index) => cluster.open(`n${index % 3}`))),
      );
      const contents = programs.map((_, index) => `answer:${30 - 3 * index} for ${index}`);
      const calls = programs.map((program, index) =>
        Effect.result(
          cluster.callModel(`n${(index + 1) % 3}`, {
            program,
            step: 1,
            content: contents[index],
            maxTokens: 30,
          }),
        )
      );
      const turns = yield* cluster.runToCompletion(Effect.all(calls, { concurrency: "unbounded" }));
      return turns.flatMap((turn, index) => {
        const expected = expectedAnswerTokens([{ content: contents[index] }], 30).join("");
        const isRight = Result.isSuccess(turn) &&
          decodeModelResponse(turn.success.answer).content === expected;
        return isRight ? [] : [`caller ${index} got a wrong answer`];
      });
    }),
});
