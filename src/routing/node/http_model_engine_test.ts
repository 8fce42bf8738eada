import type { AddressInfo, Server, Socket } from "node:net";
import { createServer as createTcpServer } from "node:net";
import { createServer } from "node:http";
import test from "ava";
import { Deferred, Effect, Fiber, Result } from "effect";
import { TestClock } from "effect/testing";
import { HttpClient } from "../../base/node/http_client.ts";
import type { IEngineToken, IGenerateRequest } from "../common/model_engine.ts";
import { BackendFailure } from "../common/model_engine.ts";
import { HttpModelEngine } from "./http_model_engine.ts";

const REQUEST: IGenerateRequest = {
  attemptId: "a",
  programId: "p",
  model: "m",
  messages: [],
  maxTokens: 4,
  priority: 0,
};
const BEYOND_ALL_TIMEOUTS_MS = 120_000;

function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`));
  });
}

test("11: a request on an unresponsive connection times out, and the next one uses a new connection", async (t) => {
  const requestReceived = Deferred.makeUnsafe<void>();
  const sockets: Socket[] = [];
  const server = createTcpServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      // The first connection never receives a response; later ones do.
      if (sockets.length > 1) socket.write("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
      Deferred.doneUnsafe(requestReceived, Effect.void);
    });
  });
  const client = new HttpClient();
  const engine = new HttpModelEngine(client, await listen(server));
  const work = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(Effect.result(engine.getLoadReport()));
    yield* Deferred.await(requestReceived);
    yield* TestClock.adjust(BEYOND_ALL_TIMEOUTS_MS);
    const outcome = yield* Fiber.join(fiber);
    t.true(Result.isFailure(outcome) && outcome.failure.failure === BackendFailure.TimedOut);
    yield* engine.getLoadReport();
    t.is(sockets.length, 2);
  });
  await Effect.runPromise(Effect.provide(work, TestClock.layer()));
  client.dispose();
  sockets.forEach((socket) => socket.destroy());
  server.close();
});

test("events of another attempt are discarded and counted", async (t) => {
  const events = [
    { attemptId: "other", token: "x" },
    { attemptId: "a", token: "y" },
    { attemptId: "a", done: { promptTokens: 1, cachedTokens: 0, generatedTokens: 1 } },
  ];
  const server = createServer((req, res) => {
    req.resume();
    res.writeHead(200, { "content-type": "text/event-stream" });
    events.forEach((event, id) => res.write(`id: ${id}\ndata: ${JSON.stringify(event)}\n\n`));
    res.end();
  });
  const client = new HttpClient();
  const engine = new HttpModelEngine(client, await listen(server));
  const tokens: IEngineToken[] = [];
  await Effect.runPromise(engine.generate(REQUEST, (token) => tokens.push(token)));
  t.deepEqual(tokens, [{ eventId: 1, text: "y" }]);
  t.is(engine.discardedEvents, 1);
  client.dispose();
  server.close();
});

test("a request to a closed port fails as not sent", async (t) => {
  const server = createTcpServer();
  const address = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  const outcome = await Effect.runPromise(
    Effect.result(new HttpModelEngine(new HttpClient(), address).getLoadReport()),
  );
  t.true(Result.isFailure(outcome) && outcome.failure.failure === BackendFailure.NotSent);
});
