import type { Socket } from "node:net";
import { create, toBinary } from "@bufbuild/protobuf";
import test from "ava";
import { createClient } from "@connectrpc/connect";
import { Deferred, Effect } from "effect";
import { ConnectionEnd, startRawServer } from "../../../test/stand_ins/raw_server.ts";
import { LoadTurnResponseSchema, TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { Http1Transports } from "./http1_transports.ts";

const BODY = toBinary(LoadTurnResponseSchema, create(LoadTurnResponseSchema, { isOwner: true }));
const HEAD = `HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: ${BODY.length}\r\n\r\n`;
const RESPONSE = Buffer.concat([Buffer.from(HEAD), BODY]);
const CALLS = 20;
/** Longer than the test. */
const LONG_MS = 600_000;

// Guards against turns that wait for a sound owner for seconds: it accepted only connections whose calls had been given up.
test("calls that are given up leave a peer two connections to respond on, and later calls use them", async (t) => {
  const connections = new Set<Socket>();
  const haveArrived = Deferred.makeUnsafe<void>();
  let isResponsive = false;
  const server = await startRawServer((_req, socket) => {
    connections.add(socket);
    if (connections.size === 2) Deferred.doneUnsafe(haveArrived, Effect.void);
    return isResponsive ? { bytes: RESPONSE, end: undefined } : undefined;
  });
  const transports = new Http1Transports({ openDelayMs: LONG_MS });
  t.teardown(() => {
    transports.dispose();
    server.close();
  });
  const client = createClient(TurnService, transports.get(server.address));
  const abort = new AbortController();
  const calls = Array.from(
    { length: CALLS },
    () => t.throwsAsync(client.loadTurn({ turnId: "t" }, { signal: abort.signal })),
  );
  await Effect.runPromise(Deferred.await(haveArrived));
  abort.abort();
  await Promise.all(calls);
  isResponsive = true;
  const waiting = client.loadTurn({ turnId: "t" });
  for (const socket of connections) socket.write(RESPONSE);
  t.true((await waiting).isOwner);
  t.true((await client.loadTurn({ turnId: "t" })).isOwner);
  t.is(connections.size, 2);
});

test("a call goes on over another connection when the one that it waits for ends", async (t) => {
  let requests = 0;
  const server = await startRawServer(() => {
    requests += 1;
    return requests <= 2 ? { bytes: "", end: ConnectionEnd.Reset } : { bytes: RESPONSE, end: undefined };
  });
  const transports = new Http1Transports();
  t.teardown(() => {
    transports.dispose();
    server.close();
  });
  const client = createClient(TurnService, transports.get(server.address));
  const calls = Array.from({ length: CALLS }, () => client.loadTurn({ turnId: "t" }));
  const results = await Promise.allSettled(calls);
  t.is(results.filter(({ status }) => status === "rejected").length, 2);
});
