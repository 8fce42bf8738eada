import test from "ava";
import type { Transport } from "@connectrpc/connect";
import { createRouterTransport } from "@connectrpc/connect";
import { Effect, Fiber, Result } from "effect";
import { TestClock } from "effect/testing";
import { PeerService } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";
import { PeerRpcClients } from "./peer_client.ts";

const UNRESPONSIVE = {
  unary: () => new Promise<never>(() => {}),
  stream: () => new Promise<never>(() => {}),
} as Transport;

const RESPONSIVE = createRouterTransport((router) =>
  router.service(PeerService, { heartbeat: () => ({ viewNumber: 7 }) })
);

test("11: after a call to a peer times out, the next call uses a new connection", async (t) => {
  let current = UNRESPONSIVE;
  const clients = new PeerRpcClients(PeerService, { get: () => current, reset: () => current = RESPONSIVE });
  const call = clients.call("peer", {
    timeoutMs: 1000,
    invoke: (client, signal) => client.heartbeat({}, { signal }),
  });
  const work = Effect.gen(function* () {
    const first = yield* Effect.forkChild(Effect.result(call));
    yield* Effect.yieldNow;
    yield* TestClock.adjust(1000);
    t.true(Result.isFailure(yield* Fiber.join(first)));
    t.is((yield* call).viewNumber, 7);
  });
  await Effect.runPromise(Effect.provide(work, TestClock.layer()));
});

// Guards against requests that are nearly over and close the connections of a sound peer.
test("a call that has little time closes no other connections when it times out", async (t) => {
  let resets = 0;
  const clients = new PeerRpcClients(PeerService, { get: () => UNRESPONSIVE, reset: () => resets += 1 });
  const call = clients.call("peer", {
    timeoutMs: 5,
    invoke: (client, signal) => client.heartbeat({}, { signal }),
  });
  const work = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(Effect.result(call));
    yield* Effect.yieldNow;
    yield* TestClock.adjust(5);
    t.true(Result.isFailure(yield* Fiber.join(fiber)));
  });
  await Effect.runPromise(Effect.provide(work, TestClock.layer()));
  t.is(resets, 0);
});

test("a call to an address that is none fails", async (t) => {
  const get = (address: string): Transport => {
    throw new TypeError(`invalid URL: ${address}`);
  };
  const clients = new PeerRpcClients(PeerService, { get, reset: () => {} });
  const call = clients.call("no address", {
    timeoutMs: 1000,
    invoke: (client, signal) => client.heartbeat({}, { signal }),
  });
  const result = await Effect.runPromise(Effect.result(call));
  t.is(Result.isFailure(result) ? result.failure._tag : undefined, "PeerError");
});
