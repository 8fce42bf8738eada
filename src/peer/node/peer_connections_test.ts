import type { Socket } from "node:net";
import { create, toBinary } from "@bufbuild/protobuf";
import test from "ava";
import { Deferred, Effect, Result } from "effect";
import { ConnectionEnd, startRawServer } from "../../../test/stand_ins/raw_server.ts";
import { LoadTurnResponseSchema, TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { Http1Transports } from "./http1_transports.ts";

const BODY = toBinary(LoadTurnResponseSchema, create(LoadTurnResponseSchema, { isOwner: true }));
const HEAD = `HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: ${BODY.length}\r\n\r\n`;
const RESPONSE = Buffer.concat([Buffer.from(HEAD), BODY]);
const CALLS = 20;
const SHORT_TIMEOUT_MS = 30;
const LONG_TIMEOUT_MS = 30_000;

// Guards against turns that wait for a sound owner for seconds: it accepted only connections whose calls had been given up.
test("calls that time out wait for the connections on which a peer has yet to respond", async (t) => {
  const connections = new Set<Socket>();
  const hasRequests = Deferred.makeUnsafe<void>();
  let isResponsive = false;
  const server = await startRawServer((_req, socket) => {
    connections.add(socket);
    if (connections.size === 2) Deferred.doneUnsafe(hasRequests, Effect.void);
    return isResponsive ? { bytes: RESPONSE, end: undefined } : undefined;
  });
  const transports = new Http1Transports();
  t.teardown(() => {
    transports.dispose();
    server.close();
  });
  const clients = new PeerRpcClients(TurnService, transports);
  const load = (timeoutMs: number) =>
    Effect.runPromise(Effect.result(clients.call(server.address, {
      timeoutMs,
      invoke: (client, signal) => client.loadTurn({ turnId: "t" }, { signal }),
    })));
  const results = await Promise.all(Array.from({ length: CALLS }, () => load(SHORT_TIMEOUT_MS)));
  t.true(results.every(Result.isFailure));
  await Effect.runPromise(Deferred.await(hasRequests));
  t.is(connections.size, 2);
  isResponsive = true;
  const waiting = load(LONG_TIMEOUT_MS);
  for (const socket of connections) socket.write(RESPONSE);
  t.true(Result.isSuccess(await waiting));
  t.true(Result.isSuccess(await load(LONG_TIMEOUT_MS)));
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
  const clients = new PeerRpcClients(TurnService, transports);
  const calls = Array.from(
    { length: CALLS },
    () =>
      Effect.runPromise(Effect.result(clients.call(server.address, {
        timeoutMs: LONG_TIMEOUT_MS,
        invoke: (client, signal) => client.loadTurn({ turnId: "t" }, { signal }),
      }))),
  );
  t.is((await Promise.all(calls)).filter(Result.isFailure).length, 2);
});
