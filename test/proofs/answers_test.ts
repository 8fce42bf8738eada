import { Effect, Fiber, Result } from "effect";
import { create } from "@bufbuild/protobuf";
import { CallRequestSchema } from "../../src/base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { decodeAnswer } from "../../src/call/common/turns.ts";
import { DeliveredTokens } from "../../src/entry/common/delivered_tokens.ts";
import type { Cluster } from "../harness/cluster.ts";
import { answerTo } from "../stand_ins/engine_core.ts";
import { proof, replace } from "./proof.ts";

const CONTENT = "answer:40";
const EXPECTED = answerTo([{ content: CONTENT }], 40).join("");

proof("5: a stream that is cut in the middle", {
  nodes: 2,
  sabotage: ({ core }) => {
    // Without event ids a resumed stream starts over.
    for (const { client } of core.registry.engines) {
      const { generate } = client;
      replace(
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
      const program = yield* cluster.drive(cluster.open("n0"));
      const turn = yield* cluster.drive(
        cluster.callModel("n1", { program, step: 1, content: CONTENT, maxTokens: 40 }),
      );
      return decodeAnswer(turn.answer).content === EXPECTED ? [] : ["the answer is not whole"];
    }),
});

/** Streams a call and returns what the caller was sent, or undefined if the stream was failed. */
function stream(
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
    const rest = opts.delivered.restOf(decodeAnswer(outcome.success.turn.answer).content);
    return rest === undefined ? undefined : sent.join("") + rest;
  });
}

proof("5: an owner killed in mid-stream, with engines that answer differently each time", {
  nodes: 3,
  sabotage: () => {
    replace(DeliveredTokens.prototype, "accept", () => true);
    replace(DeliveredTokens.prototype, "restOf", () => "");
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      cluster.engines.forEach(({ faults }) => faults.unsteady = true);
      const program = yield* cluster.drive(cluster.open("n0"));
      const owner = cluster.ownerOf(program);
      const via = cluster.otherThan(owner);
      const fiber = yield* Effect.forkDetach(
        stream(cluster, { via, program, delivered: new DeliveredTokens() }),
      );
      yield* cluster.until(
        () => cluster.engines.some(({ stats }) => stats.generatedTokens > 10),
        "some tokens",
      );
      yield* cluster.kill(owner);
      const sent = yield* cluster.drive(Fiber.join(fiber));
      const { turns } = yield* cluster.drive(cluster.history(via, program));
      const recorded = turns[0] === undefined ? undefined : decodeAnswer(turns[0].answer).content;
      return sent === undefined || sent === recorded ? [] : ["the caller was sent a mixture"];
    }),
});

proof("5: answers out of order go to their own callers", {
  nodes: 3,
  // Without ids of their own, attempts of different calls are taken for one another.
  sabotage: ({ core }) => {
    for (const { client } of core.registry.engines) {
      const { generate } = client;
      replace(
        client,
        "generate",
        (req, onToken) => generate.call(client, { ...req, attemptId: "one" }, onToken),
      );
    }
  },
  scenario: (cluster) =>
    Effect.gen(function* () {
      const programs = yield* cluster.drive(
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
      const turns = yield* cluster.drive(Effect.all(calls, { concurrency: "unbounded" }));
      return turns.flatMap((turn, index) => {
        const expected = answerTo([{ content: contents[index] }], 30).join("");
        const isRight = Result.isSuccess(turn) && decodeAnswer(turn.success.answer).content === expected;
        return isRight ? [] : [`caller ${index} got another answer`];
      });
    }),
});
